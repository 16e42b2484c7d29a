"""Query and command language; does no I/O except for loading its grammar at import."""

from lynxlanding.operators.language import (
    commands,
    conditions,
    difference,
    evaluation,
    located_value,
    parsing,
    query,
    result,
    tables,
    translation,
)

__all__ = [
    "commands",
    "conditions",
    "difference",
    "evaluation",
    "located_value",
    "parsing",
    "query",
    "result",
    "tables",
    "translation",
]
