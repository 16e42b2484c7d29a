"""Helpers shared by the ``lynxctl`` commands: node calls, input, error output and exit codes."""

import getpass
import sys
import time

import click
import numpy

from lynxlanding.configuration import change_ids
from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators import admin_client, exit_codes
from lynxlanding.transport import strict_connection

_EXIT_CODE_BY_STATUS = {
    400: exit_codes.INVALID,
    422: exit_codes.INVALID,
    409: exit_codes.CONFLICT,
    503: exit_codes.NOT_ACCEPTED,
}
_HINTS_BY_ERROR_TYPE = {
    "revision_conflict": "look at it with 'lynxctl history', adapt the file and apply it again",
    "store_not_confirmed": "nothing was changed; try again when the store answers, or use another"
    " --node",
    "store_unavailable": "nothing was changed; try again later",
    "store_rate_limited": "nothing was changed; try again later",
    "invalid_object": "nothing was changed; correct the statement and apply the file again",
}


def make_client(options):
    """Return an admin client for the nodes in ``options``; exits if they are missing or invalid."""
    if not options["nodes"]:
        exit_with_error(
            exit_codes.USAGE,
            "no node is given",
            "pass --node http://HOST:PEER_PORT before the command, or set LYNXCTL_NODE",
        )
    for node in options["nodes"]:
        if not node.startswith(("http://", "https://")):
            exit_with_error(exit_codes.USAGE, f"--node {node} is not a URL", f"write http://{node}")
    return admin_client.AdminClient(options["nodes"], strict_connection.make_pool_manager())


def read_text(file):
    """Return the contents of a text file; exits if it is not valid UTF-8."""
    try:
        return file.read()
    except UnicodeDecodeError as e:
        return exit_with_error(
            exit_codes.INVALID, f"{file.name} is not UTF-8 text: {e}", "save the file as UTF-8"
        )


def new_change_id():
    """Return a new change id."""
    # The id contains its creation time, which limits how far back the history is searched for a
    # repeated change.
    return change_ids.generate(time.time(), numpy.random.default_rng())


def get_login_name():
    """Return the login name of the current user; exits if it cannot be determined."""
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        return exit_with_error(exit_codes.USAGE, "the login name is unknown", "pass --author NAME")


def call_node(method, argument):
    """Call a method of the admin client and return its result; exits if no node is reachable."""
    try:
        return method(argument)
    except operator_errors.NodeUnreachable as e:
        return exit_with_error(
            exit_codes.UNREACHABLE,
            f"no node answered: {e}",
            "nothing was changed; check --node (it names the peer port) and try again",
        )


def exit_on_error(status, response, prefix="", text=""):
    """Exit with the matching code, message and hint unless the status is 200.

    ``prefix`` is put before the message. ``text`` holds the submitted statements, in which the
    position of a statement error is marked.
    """
    if status == 200:
        return
    error = response.get("error", {})
    hint = _HINTS_BY_ERROR_TYPE.get(error.get("type"), "")
    if error.get("type") == "statement_error" and text:
        statement_error = operator_errors.StatementError(error["line"], error["column"], "")
        hint = mark_error(text, statement_error)
    code = _EXIT_CODE_BY_STATUS.get(status, exit_codes.UNEXPECTED)
    exit_with_error(code, prefix + error.get("message", f"status {status}"), hint)


def exit_with_error(code, message, hint=""):
    """Print an error message and an optional hint to standard error, then exit."""
    click.echo(f"lynxctl: {message}", err=True)
    if hint:
        click.echo(hint, err=True)
    sys.exit(code)


def mark_error(text, error):
    """Return the source line of a statement error with a caret below its column."""
    lines = text.splitlines() or [""]
    line = lines[min(error.line, len(lines)) - 1].replace("\t", " ")
    return f"  {line}\n  {' ' * (error.column - 1)}^"
