"""WSGI application of the admin API, served below ``/admin/v1/`` on the peer listener."""

import dataclasses
import datetime
import json
import re
import urllib.parse

from lynxlanding.configuration import commit
from lynxlanding.errors import base, configuration, operators, platform
from lynxlanding.observability import logs
from lynxlanding.operators import change_request
from lynxlanding.operators.language import difference, evaluation, parsing, tables, translation

PATH_PREFIX = "/admin/v1/"
MAX_BODY_BYTES = 4 << 20
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 1000
DRY_RUN = "dry_run"
_CHANGE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{7,63}")
_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    422: "422 Unprocessable Content",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
# The first entry whose type matches determines the status, so a subclass must precede its base
# class. 503 means that nothing was changed, 504 that the change may have been accepted.
_ERROR_STATUSES = (
    (operators.StatementError, 400),
    (operators.AdminRequestError, 400),
    (configuration.InvalidObject, 422),
    (configuration.RevisionConflict, 409),
    (configuration.StoreNotConfirmed, 503),
    (configuration.CommitOutcomeUnknown, 504),
    (platform.StoreOutcomeUnknown, 504),
    (platform.PlatformError, 503),
)


class AdminApp:
    """The admin API of one node.

    Parameters
    ----------
    configuration_service : ConfigurationService
        Reads the configuration and commits changes to it.
    view_source : ViewSource
        Provides the tables that queries read.
    burn_report_source : BurnReportSource
        Provides the burn-rate report of the service-level objectives.
    """

    def __init__(self, configuration_service, view_source, burn_report_source):
        self._configuration = configuration_service
        self._view_source = view_source
        self._burn_report_source = burn_report_source
        self._routes = {
            "query": ("POST", self._query),
            "apply": ("POST", self._apply),
            "history": ("GET", self._history),
            "burn": ("GET", self._burn),
        }

    def __call__(self, environ, start_response):
        """Handle one request whose path starts with ``/admin/v1/``."""
        status, document = self._handle_request(environ)
        body = json.dumps(document, default=_encode_datetime).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(_STATUS_LINES[status], headers)
        return [body]

    def _handle_request(self, environ):
        name = environ.get("PATH_INFO", "").removeprefix(PATH_PREFIX)
        route = self._routes.get(name)
        if route is None:
            paths = ", ".join(PATH_PREFIX + route_name for route_name in sorted(self._routes))
            return 404, _error_document("not_found", f"no such path; expected one of {paths}")
        method, handler = route
        if environ["REQUEST_METHOD"] != method:
            return 405, _error_document(
                "method_not_allowed", f"{PATH_PREFIX}{name} expects {method}"
            )
        try:
            return 200, handler(environ)
        except base.LynxlandingError as e:
            return _http_status(e), _describe_error(e)

    def _query(self, environ):
        document = _read_json_object(environ)
        statements = parsing.parse_queries(_read_statements(document))
        view_fields = {
            tables.find_table(statement.source).view_attribute for statement in statements
        }
        for statement in statements:
            evaluation.check_query(statement)
        view = self._view_source.cluster_view(view_fields)
        results = []
        for statement in statements:
            table = evaluation.evaluate(statement, view)
            results.append({"columns": table.columns, "rows": table.rows})
        return {
            "node": view.node,
            "revision": view.revision,
            "uncertain": view.uncertain,
            "results": results,
        }

    def _apply(self, environ):
        document = _read_json_object(environ)
        text = _read_statements(document)
        change_id = document.get("change_id")
        if not isinstance(change_id, str) or not _CHANGE_ID.fullmatch(change_id):
            raise operators.AdminRequestError(
                "'change_id' must be 8 to 64 letters, digits, '-' or '_'"
            )
        author = document.get("author")
        if not isinstance(author, str) or not 0 < len(author) <= 200:
            raise operators.AdminRequestError("'author' must be a text of 1 to 200 characters")
        dry_run = document.get("dry_run", False)
        if not isinstance(dry_run, bool):
            raise operators.AdminRequestError("'dry_run' must be true or false")
        statements = parsing.parse_commands(text)
        if not dry_run:
            # A retried change is detected before translation: statements such as 'create' fail
            # against a revision that already contains their effect.
            repeated = self._find_repeated_change(change_id, text)
            if repeated is not None:
                return repeated
        snapshot = self._configuration.snapshot()
        change = translation.translate(statements, snapshot)
        request = change_request.ChangeRequest(change_id, author, text, snapshot.revision, change)
        changed_fields = [dataclasses.asdict(line) for line in difference.compare(snapshot, change)]
        response = {"change_id": change_id, "difference": changed_fields}
        if dry_run:
            problems = self._configuration.validate(request)
            if problems:
                raise _combine_problems(problems)
            return {**response, "outcome": DRY_RUN, "revision": snapshot.revision}
        result = self._configuration.commit(request)
        logs.log_change(change_id, author, result.outcome, result.revision)
        return {**response, "outcome": result.outcome, "revision": result.revision}

    def _find_repeated_change(self, change_id, text):
        entry = self._configuration.find_change(change_id)
        if entry is None:
            return None
        if entry.statements != text:
            raise operators.AdminRequestError(
                f"change id {change_id} was accepted as revision {entry.revision} with other"
                " statements; submit this change with a new id"
            )
        return {
            "change_id": change_id,
            "difference": [],
            "outcome": commit.REPEATED,
            "revision": entry.revision,
        }

    def _history(self, environ):
        parameters = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        text = parameters.get("limit", [str(DEFAULT_HISTORY_LIMIT)])[-1]
        if not text.isdecimal() or not 1 <= int(text) <= MAX_HISTORY_LIMIT:
            raise operators.AdminRequestError(f"'limit' must be from 1 to {MAX_HISTORY_LIMIT}")
        entries = self._configuration.history(int(text))
        return {"changes": [dataclasses.asdict(entry) for entry in entries]}

    def _burn(self, environ):
        return self._burn_report_source.burn_report()


def _combine_problems(problems):
    first, *others = problems
    reason = "; ".join([first.reason, *(str(problem) for problem in others)])
    return configuration.InvalidObject(first.path, reason)


def _read_json_object(environ):
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
        raise operators.AdminRequestError(f"the body must have at most {MAX_BODY_BYTES} bytes")
    try:
        document = json.loads(environ["wsgi.input"].read(int(length)))
    except (ValueError, RecursionError) as e:
        raise operators.AdminRequestError(f"the body is not valid JSON: {e}") from e
    if not isinstance(document, dict):
        raise operators.AdminRequestError("the body must be a JSON object")
    return document


def _read_statements(document):
    text = document.get("text")
    if not isinstance(text, str):
        raise operators.AdminRequestError("'text' must hold the statements")
    return text


def _http_status(error):
    for error_type, status in _ERROR_STATUSES:
        if isinstance(error, error_type):
            return status
    return 500


def _describe_error(error):
    document = _error_document(error.type_name, str(error))
    for name in ("line", "column", "expected", "path", "change_id", "revision"):
        if hasattr(error, name):
            document["error"][name] = getattr(error, name)
    return document


def _error_document(type_name, message):
    return {"error": {"type": type_name, "message": message}}


def _encode_datetime(value):
    if isinstance(value, datetime.datetime):
        return value.isoformat()
    raise TypeError(f"{type(value).__name__} is not JSON serializable")
