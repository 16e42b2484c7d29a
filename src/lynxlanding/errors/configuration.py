"""Errors in configuration objects and their commits."""

from lynxlanding.errors import base


class ConfigurationError(base.LynxlandingError):
    """Base class of the configuration errors."""

    type_name = "configuration_error"


class InvalidObject(ConfigurationError):
    """A configuration object failed validation.

    Parameters
    ----------
    path : str
        Path of the offending field, such as ``workspaces/north.owed_tokens_per_s``.
    reason : str
        Why the field is invalid.
    """

    type_name = "invalid_object"

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class RevisionConflict(ConfigurationError):
    """Another change was accepted first and touches the same objects.

    Parameters
    ----------
    change_id : str
        Id of the conflicting change that was accepted.
    revision : int
        Revision that it created.
    """

    type_name = "revision_conflict"

    def __init__(self, change_id, revision):
        super().__init__(f"change {change_id} was accepted first as revision {revision}")
        self.change_id = change_id
        self.revision = revision


class CommitOutcomeUnknown(ConfigurationError):
    """The store became unavailable before the commit's outcome was known.

    Submitting the same change id again is safe and reports the outcome.
    """

    type_name = "commit_outcome_unknown"


class StoreNotConfirmed(ConfigurationError):
    """The node cannot accept changes because the store has not confirmed its revision recently."""

    type_name = "store_not_confirmed"
