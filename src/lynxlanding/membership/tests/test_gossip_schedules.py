import pytest

from lynxlanding.membership import gossip, node_table
from lynxlanding.membership.tests import gossip_schedules

SCHEDULE_COUNT = 50
MUTATION_SEEDS = range(20, 35)


def _violations(seeds):
    found = []
    for seed in seeds:
        violations = gossip_schedules.FaultSchedule(seed).run()
        if violations:
            found.append((seed, violations))
    return found


def test_views_converge_after_faults():
    """Guards against diverging views, listed failed nodes, old incarnations and lost entries."""
    assert _violations(range(SCHEDULE_COUNT)) == []


def test_schedules_detect_a_reused_incarnation(monkeypatch):
    """Guards against schedules in which no node restarts with an incarnation already in use."""
    monkeypatch.setattr(gossip.Gossip, "_check_local_digest", lambda self, remote, now: None)
    monkeypatch.setattr(gossip.Gossip, "_check_local_info", lambda self, info, now: None)
    assert _violations(MUTATION_SEEDS)


def test_schedules_detect_missing_reconnects(monkeypatch):
    """Guards against schedules in which the nodes find each other without reconnecting."""
    monkeypatch.setattr(
        gossip_schedules.exchange_schedule.ExchangeSchedule, "_reconnect_candidates", lambda *_: []
    )
    assert _violations(MUTATION_SEEDS)


@pytest.mark.parametrize("pause_s", [10.0, 3600.0])
def test_resumed_node_does_not_send_stale_records(pause_s):
    """Guards against a node that resumes after a pause and spreads records of removed nodes."""
    schedule = gossip_schedules.FaultSchedule(1)
    resumed = schedule.nodes["n0"].gossip
    other = schedule.nodes["n1"].gossip
    resumed.merge_response(other.handle_request(resumed.create_request("place", 0.5), 0.5), 0.5)
    assert len(resumed.create_request("place", 1.0).digest) == 2
    assert len(resumed.create_request("place", 1.0 + pause_s).digest) == 1
    assert resumed.tick(1.5 + pause_s) == []


def test_silent_node_is_suspected_and_removed():
    """Guards against failed nodes that stay in the member list."""
    schedule = gossip_schedules.FaultSchedule(1)
    node = schedule.nodes["n0"].gossip
    node.handle_request(schedule.nodes["n1"].gossip.create_request("place", 0.0), 0.0)
    node.handle_request(schedule.nodes["n4"].gossip.create_request("wide", 0.0), 0.0)
    states = {}
    removed = []
    now = 0.0
    while len(removed) < 2:
        now += 0.5
        removed.extend((record.info.node_id, now) for record in node.tick(now))
        for item in node.members():
            if item.state == "suspected":
                states.setdefault(item.node_id, now)
    assert states["n1"] - node_table.LOCAL_SUSPECT_TIMEOUT_S <= 0.5
    assert states["n4"] - node_table.REMOTE_SUSPECT_TIMEOUT_S <= 0.5
    assert {name for name, _ in removed} == {"n1", "n4"}
    assert all(at - node_table.REMOVAL_TIMEOUT_S <= 0.5 for _, at in removed)
