"""Calls, mistakes and exit codes that the commands of ``lynxctl`` share."""

import getpass
import sys
import time

import click
import numpy
import urllib3

from lynxlanding.configuration import change_ids
from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators import admin_client, exit_codes

_CODE_BY_STATUS = {
    400: exit_codes.INVALID,
    422: exit_codes.INVALID,
    409: exit_codes.CONFLICT,
    503: exit_codes.NOT_ACCEPTED,
}
_ADVICE = {
    "revision_conflict": "look at it with 'lynxctl history', adapt the file and apply it again",
    "store_not_confirmed": "nothing was changed; try again when the store answers, or use another"
    " --node",
    "store_unavailable": "nothing was changed; try again later",
    "store_rate_limited": "nothing was changed; try again later",
    "invalid_object": "nothing was changed; correct the statement and apply the file again",
}


def client(settings):
    """Return a client of the given nodes; exits if there are none."""
    if not settings["nodes"]:
        fail(
            exit_codes.USAGE,
            "no node is given",
            "pass --node http://HOST:PEER_PORT before the command, or set LYNXCTL_NODE",
        )
    for node in settings["nodes"]:
        if not node.startswith(("http://", "https://")):
            fail(exit_codes.USAGE, f"--node {node} is not a URL", f"write http://{node}")
    return admin_client.AdminClient(settings["nodes"], urllib3.PoolManager())


def read(file):
    """Return the text of a file; exits if it is not UTF-8."""
    try:
        return file.read()
    except UnicodeDecodeError as e:
        return fail(
            exit_codes.INVALID, f"{file.name} is not UTF-8 text: {e}", "save the file as UTF-8"
        )


def new_change_id():
    """Return a new change id."""
    # The id carries its time, which bounds the search of the history for a repeat.
    return change_ids.generate(time.time(), numpy.random.default_rng())


def login_name():
    """Return the login name; exits if it is unknown."""
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        return fail(exit_codes.USAGE, "the login name is unknown", "pass --author NAME")


def reach(call, argument):
    """Return the answer of a call; exits if no node answers."""
    try:
        return call(argument)
    except operator_errors.NodeUnreachable as e:
        return fail(
            exit_codes.UNREACHABLE,
            f"no node answered: {e}",
            "nothing was changed; check --node (it names the peer port) and try again",
        )


def check(status, answer, prefix="", text=""):
    """Exit with the code and advice of a refusal."""
    if status == 200:
        return
    error = answer.get("error", {})
    advice = _ADVICE.get(error.get("type"), "")
    if error.get("type") == "statement_error" and text:
        mistake = operator_errors.StatementError(error["line"], error["column"], "")
        advice = marked(text, mistake)
    code = _CODE_BY_STATUS.get(status, exit_codes.UNEXPECTED)
    fail(code, prefix + error.get("message", f"status {status}"), advice)


def fail(code, message, advice=""):
    """Print a message and what to do, and exit."""
    click.echo(f"lynxctl: {message}", err=True)
    if advice:
        click.echo(advice, err=True)
    sys.exit(code)


def marked(text, error):
    """Return the line of a mistake with a mark below it."""
    lines = text.splitlines() or [""]
    line = lines[min(error.line, len(lines)) - 1].replace("\t", " ")
    return f"  {line}\n  {' ' * (error.column - 1)}^"
