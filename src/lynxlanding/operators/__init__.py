"""Query and command language, admin API and ``lynxctl``."""

from lynxlanding.operators import language, view

__all__ = ["language", "view"]
