"""Errors of the platform's object API, VM list and weight store."""

from lynxlanding.errors import base


class PlatformError(base.LynxlandingError):
    """Base class of the platform errors."""

    type_name = "platform_error"


class StoreUnavailable(PlatformError):
    """The store refused or never received the call; nothing was changed."""

    type_name = "store_unavailable"


class StoreOutcomeUnknown(PlatformError):
    """It is unknown whether the call took effect; read the object again to find out."""

    type_name = "store_outcome_unknown"


class StoreRateLimited(StoreUnavailable):
    """The store refused the call because its call rate was exceeded; nothing was changed."""

    type_name = "store_rate_limited"


class ObjectNotFound(PlatformError):
    """The object does not exist."""

    type_name = "object_not_found"


class ObjectExists(PlatformError):
    """The object to create already exists."""

    type_name = "object_exists"


class VersionConflict(PlatformError):
    """The version in a conditional update or delete is not the current version."""

    type_name = "version_conflict"


class WatchExpired(PlatformError):
    """The store no longer has the version to watch from; list the objects again."""

    type_name = "watch_expired"


class StoreRolledBack(StoreOutcomeUnknown):
    """The store has been restored from an older copy; versions read before are not valid."""

    type_name = "store_rolled_back"


class ValueTooLarge(PlatformError):
    """The value exceeds the store's limit of 1 MB."""

    type_name = "value_too_large"


class MalformedPlatformResponse(StoreOutcomeUnknown):
    """The platform's response could not be decoded."""

    type_name = "malformed_platform_answer"


class WeightPermitDenied(PlatformError):
    """The weight store's rate limit is reached.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which a permit may be requested again.
    """

    type_name = "weight_permit_denied"

    def __init__(self, retry_after_s):
        super().__init__(f"weight store permit denied; retry after {retry_after_s} s")
        self.retry_after_s = retry_after_s


class MalformedEntry(PlatformError):
    """An entry of the store does not describe an endpoint or a configuration."""

    type_name = "malformed_entry"
