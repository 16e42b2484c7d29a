"""Makes the store calls that claims request."""

from lynxlanding.errors import platform as platform_errors
from lynxlanding.requests import claim_decisions, claim_events, claim_record


def execute(store, name, decision):
    """Make a store call and return its result as an event.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    name : str
        Object name of the claim.
    decision : CreateClaim, UpdateClaim or ReadClaim
        The call. The delay of ``ReadClaim`` is ignored; the caller has to wait for it.

    Returns
    -------
    object
        One of the types in ``claim_events``.
    """
    try:
        if isinstance(decision, claim_decisions.CreateClaim):
            stored = store.create(claim_record.KIND, name, decision.record.encode())
            return claim_events.Written(stored.version)
        if isinstance(decision, claim_decisions.UpdateClaim):
            stored = store.update(
                claim_record.KIND, name, decision.record.encode(), decision.version
            )
            return claim_events.Written(stored.version)
        stored = store.get(claim_record.KIND, name)
    except (platform_errors.ObjectExists, platform_errors.VersionConflict):
        return claim_events.Rejected()
    except platform_errors.ObjectNotFound:
        return claim_events.Missing()
    except platform_errors.StoreUnavailable:
        return claim_events.StoreFailed()
    except platform_errors.StoreOutcomeUnknown:
        if isinstance(decision, claim_decisions.ReadClaim):
            return claim_events.StoreFailed()
        return claim_events.StoreOutcomeUnknown()
    try:
        return claim_events.Read(stored.version, claim_record.decode(stored.value))
    except ValueError:
        return claim_events.Malformed()
