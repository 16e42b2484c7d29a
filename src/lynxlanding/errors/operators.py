"""Errors of operator statements and of the admin API."""

from lynxlanding.errors import base


class OperatorError(base.LynxlandingError):
    """Base class of the errors that are reported to operators."""

    type_name = "operator_error"


class StatementError(OperatorError):
    """A statement is invalid.

    Parameters
    ----------
    line, column : int
        Position of the error, both starting at 1.
    reason : str
        Why the statement is invalid.
    expected : tuple of str, optional
        Tokens that would be valid at this position.
    """

    type_name = "statement_error"

    def __init__(self, line, column, reason, expected=()):
        message = f"line {line}, column {column}: {reason}"
        if expected:
            message += f"; expected {_join_alternatives(expected)}"
        super().__init__(message)
        self.line = line
        self.column = column
        self.reason = reason
        self.expected = tuple(expected)


class AdminRequestError(OperatorError):
    """A request to the admin API is malformed."""

    type_name = "invalid_admin_request"


class NodeUnreachable(OperatorError):
    """No node could be reached, so nothing was changed."""

    type_name = "node_unreachable"


class ChangeOutcomeUnknown(OperatorError):
    """No node reported whether a submitted change was accepted.

    Submitting the same change id again is safe and reports the outcome.
    """

    type_name = "change_outcome_unknown"


def _join_alternatives(expected):
    if len(expected) == 1:
        return expected[0]
    return "one of " + ", ".join(expected)
