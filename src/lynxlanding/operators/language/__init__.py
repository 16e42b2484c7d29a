"""Query and command language; no module of this package does I/O."""

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
    "parsing",
    "located_value",
    "query",
    "result",
    "tables",
    "translation",
]
