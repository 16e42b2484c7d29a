import types

import pytest

from lynxlanding.configuration import (
    change,
    change_service,
    part_cache,
    propagation_status,
    revision_log,
)
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import memory_store

CHANGE = change.Change("c1", "asha", {("workspaces", "north"): {"token_sha256": ["1" * 64]}})


class StubActor:
    """Stub of the proxy of the ``ConfigurationActor``."""

    def __init__(self, state):
        self.loaded = []
        self._status = propagation_status.PropagationStatus(state, 0, "", 0, 1.0, True)

    def status(self):
        return types.SimpleNamespace(get=lambda: self._status)

    def fetched(self, loaded):
        self.loaded.append(loaded)


class FailingHeadStore(memory_store.MemoryObjectStore):
    """Loses the response to the creation of the head, then fails ``refused_calls`` reads."""

    def __init__(self, refused_calls):
        super().__init__()
        self._refused_calls = refused_calls
        self._is_response_lost = False

    def create(self, kind, name, value):
        created = super().create(kind, name, value)
        if kind == "config-head":
            self._is_response_lost = True
            raise platform_errors.StoreOutcomeUnknown("lost")
        return created

    def get(self, kind, name):
        if self._is_response_lost and self._refused_calls > 0:
            self._refused_calls -= 1
            raise platform_errors.StoreUnavailable("outage")
        return super().get(kind, name)


def _service(store, state=propagation_status.CERTAIN):
    actor = StubActor(state)
    log = revision_log.RevisionLog(part_cache.PartCache())
    return change_service.ChangeService(store, log, actor), actor


@pytest.mark.parametrize("state", ["starting", "uncertain", "expired"])
def test_unconfirmed_node_accepts_no_change(state):
    """Guards against a change that is planned on a revision that may be superseded."""
    service, _ = _service(memory_store.MemoryObjectStore(), state)
    with pytest.raises(configuration_errors.StoreNotConfirmed):
        service.commit(CHANGE)


def test_outcome_is_determined_after_short_outage():
    """Guards against reporting an unknown outcome that one more read would have determined."""
    service, _ = _service(FailingHeadStore(refused_calls=3))
    result = service.commit(CHANGE)
    assert result.revision == 1
    assert service.find_change("c1").author == "asha"


def test_long_outage_is_reported_as_unknown_outcome(monkeypatch):
    """Guards against reporting failure for a change that may be in effect."""
    monkeypatch.setattr(change_service, "OUTCOME_TIMEOUT_S", 0.3)
    service, _ = _service(FailingHeadStore(refused_calls=100))
    with pytest.raises(configuration_errors.CommitOutcomeUnknown):
        service.commit(CHANGE)


def test_committed_revision_is_passed_to_actor():
    """Guards against a revision that peers cannot get if the store fails after the commit."""
    service, actor = _service(memory_store.MemoryObjectStore())
    service.commit(CHANGE)
    assert [loaded.number for loaded in actor.loaded] == [1]
    assert "north" in actor.loaded[0].snapshot.of_kind("workspaces")
