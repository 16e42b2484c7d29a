"""Plans, commits and lists configuration changes for the admin API."""

import logging
import time

from lynxlanding.configuration import capacity, commit, garbage, history, plan, store_calls
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.errors import platform as platform_errors

# A commit of unknown outcome is resubmitted with the same id for this long, so that an operator
# gets an unknown outcome only if the store stays unavailable.
OUTCOME_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.25

_logger = logging.getLogger(__name__)


class ChangeService:
    """Blocking configuration operations, called on the thread of the admin request.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    log : RevisionLog
        Recent revisions of this node.
    actor : pykka.ActorProxy
        Proxy of the ``ConfigurationActor``.
    vm_list : VmList or None
        VMs to validate against; None skips the fabric domain rules.
    """

    def __init__(self, store, log, actor, vm_list=None):
        self._store = store
        self._log = log
        self._actor = actor
        self._vm_list = vm_list

    def plan(self, change):
        """Return the ``Plan`` of a change against the revision in effect; writes nothing."""
        return plan.make(change, self._log.current.snapshot, time.time(), self._capacity())

    def validate(self, change):
        """Raise ``InvalidObject`` with the first problem of a change; writes nothing."""
        problems = self.plan(change).problems
        if problems:
            raise problems[0]

    def commit(self, change):
        """Commit a change and return its ``CommitResult``.

        Raises
        ------
        errors.configuration.StoreNotConfirmed
            If this node's configuration is not confirmed by the store.
        errors.configuration.InvalidObject, errors.configuration.RevisionConflict
            If the change is rejected; nothing was changed.
        errors.configuration.CommitOutcomeUnknown
            If the outcome could not be read for ``OUTCOME_TIMEOUT_S`` seconds.
        errors.platform.StoreUnavailable
            If the store is unavailable; nothing was changed.
        """
        status = self._actor.status().get()
        if not status.accepts_changes:
            raise configuration_errors.StoreNotConfirmed(
                f"the configuration of this node is {status.state}; try another node, or later"
            )
        available = self._capacity()
        deadline_at = time.monotonic() + OUTCOME_TIMEOUT_S
        is_unknown = False
        while True:
            try:
                result = self._commit_once(change, available)
                break
            except configuration_errors.CommitOutcomeUnknown:
                is_unknown = True
                if time.monotonic() >= deadline_at:
                    raise
            except platform_errors.PlatformError as e:
                # This submission changed nothing, but the outcome of an earlier one is unknown.
                if not is_unknown:
                    raise
                if time.monotonic() >= deadline_at:
                    raise configuration_errors.CommitOutcomeUnknown(
                        f"change {change.change_id}: the outcome could not be read: {e}"
                    ) from e
            time.sleep(RETRY_DELAY_S)
        if result.loaded is not None:
            # Propagates the revision without waiting for the store watch to return.
            self._actor.fetched(result.loaded)
        _logger.info("committed change %s as revision %d", change.change_id, result.revision)
        return result

    def history(self, limit=20, before=None):
        """Return accepted revisions, newest first; see ``history.read``."""
        return store_calls.run(history.read(limit, before), self._store)

    def find_change(self, change_id):
        """Return the ``Revision`` that a change created, or None if it was not accepted."""
        return store_calls.run(history.find_revision(change_id), self._store)

    def collect_garbage(self):
        """Delete orphaned objects; returns the ``CollectionResult``."""
        return store_calls.run(garbage.collect(), self._store)

    def _commit_once(self, change, available):
        procedure = commit.commit(change, time.time(), self._log.cache, available)
        return store_calls.run(procedure, self._store)

    def _capacity(self):
        if self._vm_list is None:
            return None
        try:
            return capacity.from_vms(self._vm_list.fetch())
        except platform_errors.PlatformError as e:
            _logger.warning("skipping the fabric domain checks, cannot read the VM list: %s", e)
            return None
