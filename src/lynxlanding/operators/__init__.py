"""Query and command language, admin API and the ``lynxctl`` command-line tool."""

from lynxlanding.operators import (
    admin_app,
    admin_client,
    change_request,
    exit_codes,
    formatting,
    history_entry,
    interfaces,
    language,
    view,
)

__all__ = [
    "admin_app",
    "admin_client",
    "change_request",
    "exit_codes",
    "formatting",
    "history_entry",
    "interfaces",
    "language",
    "view",
]
