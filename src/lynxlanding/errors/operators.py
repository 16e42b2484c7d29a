"""Failures of operator statements and of the admin API."""

from lynxlanding.errors import base


class OperatorError(base.LynxlandingError):
    """Root of the failures that are reported to operators."""

    type_name = "operator_error"


class StatementError(OperatorError):
    """A statement is invalid.

    Parameters
    ----------
    line, column : int
        Position of the mistake, both counted from 1.
    reason : str
        What is wrong.
    expected : tuple of str, optional
        What is possible at this position.
    """

    type_name = "statement_error"

    def __init__(self, line, column, reason, expected=()):
        text = f"line {line}, column {column}: {reason}"
        if expected:
            text += f"; expected {_join(expected)}"
        super().__init__(text)
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
    """No node told whether a submitted change was accepted.

    Submitting the same change id again is safe and reports the outcome.
    """

    type_name = "change_outcome_unknown"


def _join(expected):
    if len(expected) == 1:
        return expected[0]
    return "one of " + ", ".join(expected)
