"""Query and command language, admin API and ``lynxctl``."""

from lynxlanding.operators import (
    admin_app,
    admin_client,
    change_request,
    exit_codes,
    formatting,
    history_entry,
    language,
    ports,
    view,
)

__all__ = [
    "admin_app",
    "admin_client",
    "change_request",
    "exit_codes",
    "formatting",
    "history_entry",
    "language",
    "ports",
    "view",
]
