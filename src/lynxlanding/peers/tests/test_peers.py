import pytest

from lynxlanding.crashes import statements
from lynxlanding.dispatch import (
    cold_statement,
    limit_statement,
    stall_tracker,
    stated_leavings,
)
from lynxlanding.errors import membership as membership_errors
from lynxlanding.fleet import endpoint_key
from lynxlanding.peers import (
    peer_report,
    peer_table,
    peer_view,
    report_codec,
    report_exchange,
)


def make_report(node_id="n2", incarnation=1, sequence=1, **fields):
    return peer_report.PeerReport(
        node_id, incarnation, sequence, "127.0.0.1:7", 4, {1: 2}, **fields
    )


def test_report_is_unchanged_by_encoding_and_decoding():
    codec = report_codec.ReportCodec()
    sent = make_report(
        has_traffic=True,
        stalled=frozenset({5, 6}),
        busy_groups={"m": 1.5},
        loading=frozenset({7}),
        is_store_unavailable=True,
        limits=(
            peer_report.ReportedLimit(8, 1792208088175, 1.4, 250),
            peer_report.ReportedLimit(9, 1, None, 0),
        ),
    )
    assert codec.decode(codec.encode(sent)) == sent


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 64, b"\x10\x05\x50" * 20])
def test_malformed_datagrams_raise_malformed_message(data):
    codec = report_codec.ReportCodec()
    try:
        codec.decode(data)
    except membership_errors.MalformedMessage:
        return
    except Exception as e:
        pytest.fail(f"{type(e).__name__}: {e}")


def test_old_and_duplicate_reports_are_rejected():
    table = peer_table.PeerTable("n1")
    assert table.record_report(make_report(sequence=2), 0.0)
    assert not table.record_report(make_report(sequence=2), 0.1)
    assert not table.record_report(make_report(sequence=1), 0.1)
    assert table.record_report(make_report(incarnation=2, sequence=1), 0.2)
    assert not table.record_report(make_report("n1", sequence=9), 0.3)


def test_silent_node_is_not_live_but_still_receives_reports():
    """Guards against nodes that stop reporting to each other for good after a partition."""
    table = peer_table.PeerTable("n1")
    table.record_report(make_report(), 0.0)
    assert table.live_node_ids(1.0) == ["n1", "n2"]
    later = peer_table.LIVENESS_TIMEOUT_S + 0.1
    assert table.live_node_ids(later) == ["n1"]
    assert table.target_addresses(later) == ["127.0.0.1:7"]
    assert table.target_addresses(peer_table.PEER_EXPIRY_S + 1) == []


def test_replaced_node_is_found_at_its_new_address():
    table = peer_table.PeerTable("n1")
    table.record_registration("n2", "127.0.0.1:8", 0.0)
    table.record_registration("n2", "127.0.0.1:9", 5.0)
    assert table.target_addresses(5.0) == ["127.0.0.1:9"]


def test_restarted_node_is_accepted_after_its_clock_was_set_back():
    """Guards against ignoring a restarted node until its clock reaches the previous incarnation."""
    table = peer_table.PeerTable("n1")
    table.record_report(make_report(incarnation=900, sequence=50), 0.0)
    assert not table.record_report(make_report(incarnation=100, sequence=1), 0.5)
    later = peer_table.LIVENESS_TIMEOUT_S + 0.1
    assert table.record_report(make_report(incarnation=100, sequence=1), later)
    assert table.live_node_ids(later) == ["n1", "n2"]


def test_reports_of_live_peers_are_added_up():
    """Guards against counting the load of stopped nodes in the demand for groups."""
    tracker = stall_tracker.StallTracker()
    view = peer_view.PeerView(tracker)
    view.set_endpoint_ids(["e1", "e2"])
    endpoint_hash = endpoint_key.hash_endpoint_id("e1")
    sent = peer_report.PeerReport(
        "n2",
        1,
        1,
        "127.0.0.1:7",
        4,
        {endpoint_hash: 3, 99: 1},
        True,
        frozenset({endpoint_hash}),
        {"m": 1.5},
        frozenset({endpoint_key.hash_endpoint_id("e2"), 98}),
    )
    assert view.apply(sent, 10.0) == {"e1": 3}
    assert view.has_traffic
    assert tracker.all_stalled(10.1) == {"e1"}
    assert view.total_busy_groups({"m": 1.0}, ["n1", "n2"]) == {"m": 2.5}
    assert view.total_busy_groups({"m": 1.0}, ["n1"]) == {"m": 1.0}
    assert view.loading_engines(["n1", "n2"]) == {"e2"}
    assert view.loading_engines(["n1"]) == set()


def test_work_with_the_store_goes_to_nodes_that_it_answers():
    """Pattern: the store turns some nodes away and serves the others."""
    table = peer_table.PeerTable("n1")
    table.record_report(make_report("n2", is_store_unavailable=True), 0.0)
    table.record_report(make_report("n3"), 0.0)
    assert table.store_node_ids(0.1, is_own_store_unavailable=False) == ["n1", "n3"]
    assert table.store_node_ids(0.1, is_own_store_unavailable=True) == ["n3"]
    table.record_report(make_report("n3", sequence=2, is_store_unavailable=True), 0.2)
    assert table.store_node_ids(0.3, is_own_store_unavailable=True) == ["n1", "n2", "n3"]


def test_limits_of_known_endpoints_are_resolved_with_their_age():
    view = peer_view.PeerView(stall_tracker.StallTracker())
    view.set_endpoint_ids(["e0"])
    known = peer_report.ReportedLimit(endpoint_key.hash_endpoint_id("e0"), 7, 1.4, 250)
    unknown = peer_report.ReportedLimit(1, 7, 1.4, 250)
    (item,) = view.resolve_limits(make_report(limits=(known, unknown)), 10.0)
    assert item.endpoint_id == "e0"
    assert item.statement == limit_statement.LimitStatement(7, 1.4, 9.75)


def test_report_with_a_limit_that_is_no_rate_is_malformed():
    codec = report_codec.ReportCodec()
    for limit_per_s in (-1.0, float("nan"), float("inf")):
        report = make_report(limits=(peer_report.ReportedLimit(8, 1, limit_per_s, 0),))
        with pytest.raises(membership_errors.MalformedMessage):
            codec.decode(codec.encode(report))


def test_limits_that_cannot_be_encoded_do_not_prevent_a_report():
    """Guards against a node without reports, which its peers take for gone."""
    statements = []
    for number, (started_ms, stated_at) in enumerate([(1, 10.5), (-1, 9.0), (1 << 70, 9.0)]):
        statement = limit_statement.LimitStatement(started_ms, 1.0, stated_at)
        statements.append(limit_statement.EndpointStatement(f"e{number}", statement))
    limits = report_exchange.make_reported_limits(statements, 10.0)
    assert [(limit.started_ms, limit.age_ms) for limit in limits] == [(1, 0)]
    codec = report_codec.ReportCodec()
    assert codec.decode(codec.encode(make_report(limits=limits))).limits == limits


def test_ends_that_peers_state_are_resolved_unless_the_endpoint_has_answered_since():
    """Guards against a node that is cut from engines and takes them for ended."""
    tracker = stall_tracker.StallTracker()
    view = peer_view.PeerView(tracker)
    view.set_endpoint_ids(["e0", "e1"])
    ends = []
    for endpoint_id in ("e0", "e1", "unknown"):
        key = endpoint_key.hash_endpoint_id(endpoint_id)
        ends.append(statements.EndStatement(key, 7, 10.0, {}))
    tracker.record_event("e1", 10.05)
    assert view.resolve_ends(statements.PromptStatements(tuple(ends))) == [("e0", 7)]


def make_helper_report(node_id, **fields):
    return peer_report.PeerReport(
        node_id, 1, 1, "127.0.0.1:1", 1, {1: 2, 2: 3}, callers_address="127.0.0.1:9", **fields
    )


def test_live_nodes_that_reach_endpoints_help_the_others():
    """Guards against requests that go to nodes that are cut, stopping or gone."""
    table = peer_table.PeerTable("n1")
    table.record_report(make_helper_report("n2", takes_requests=True), 0.0)
    table.record_report(make_helper_report("n3", is_cut=True), 0.0)
    table.record_report(make_report("n4", takes_requests=True), 0.0)
    helpers = table.helpers(0.5)
    assert [(item.node_id, item.address, item.requests) for item in helpers] == [
        ("n2", "127.0.0.1:9", 5)
    ]
    assert table.helpers(peer_table.LIVENESS_TIMEOUT_S + 0.1) == []


def test_nodes_that_reach_no_endpoint_plan_no_groups():
    """Guards against groups that are given up because their planner is cut off."""
    table = peer_table.PeerTable("n1")
    table.record_report(make_helper_report("n2"), 0.0)
    table.record_report(make_helper_report("n3", is_cut=True), 0.0)
    options = {"is_own_store_unavailable": False}
    assert table.planning_node_ids(0.1, is_own_cut=False, **options) == ["n1", "n2"]
    assert table.planning_node_ids(0.1, is_own_cut=True, **options) == ["n2"]
    alone = peer_table.PeerTable("n1")
    assert alone.planning_node_ids(0.1, is_own_cut=True, **options) == ["n1"]


@pytest.mark.parametrize("callers_address", ["127.0.0.1:9", "10.0.0.1:9", "", "127.0.0.1:0"])
def test_callers_address_survives_encoding(callers_address):
    """Guards against requests that are handed over to the wrong port."""
    codec = report_codec.ReportCodec()
    sent = make_report(callers_address=callers_address, takes_requests=True, is_cut=True)
    received = codec.decode(codec.encode(sent))
    expected = "" if callers_address.endswith(":0") else callers_address
    assert received.callers_address == expected
    assert received.takes_requests
    assert received.is_cut


def test_leavings_survive_encoding_and_name_known_endpoints():
    """Guards against endpoints that only the node that was told stops using."""
    reported = report_exchange.make_reported_leavings(
        [
            stated_leavings.LeavingStatement("e0", 7, 9.5),
            stated_leavings.LeavingStatement("unknown", 7, 9.5),
            stated_leavings.LeavingStatement("e0", -1, 9.5),
        ],
        now=10.0,
    )
    codec = report_codec.ReportCodec()
    received = codec.decode(codec.encode(make_report(leavings=reported)))
    assert len(received.leavings) == 2
    view = peer_view.PeerView(stall_tracker.StallTracker())
    view.set_endpoint_ids({"e0": None})
    assert view.resolve_leavings(received, 20.0) == [
        stated_leavings.LeavingStatement("e0", 7, 19.5)
    ]


def test_cold_engines_survive_encoding_and_do_not_get_warm_on_the_way():
    """Guards against a receiver whose belief ends before the sender's."""
    codec = report_codec.ReportCodec()
    reported = report_exchange.make_reported_cold(
        [
            cold_statement.ColdStatement("e0", 7, 11.5, 9.5),
            cold_statement.ColdStatement("unknown", 7, 11.5, 9.5),
            cold_statement.ColdStatement("e0", -1, 11.5, 9.5),
        ],
        10.0,
    )
    received = codec.decode(codec.encode(make_report(cold=reported)))
    assert len(received.cold) == 2
    view = peer_view.PeerView(stall_tracker.StallTracker())
    view.set_endpoint_ids(["e0"])
    assert view.resolve_cold(received, 20.0) == [cold_statement.ColdStatement("e0", 7, 21.5, 19.5)]


def test_nodes_that_are_silent_or_only_listed_are_known():
    """Guards against a part of a fleet that takes itself for the whole one."""
    table = peer_table.PeerTable("n1")
    table.record_report(make_report("n2"), 0.0)
    table.record_registration("n3", "127.0.0.1:7", 5.0)
    assert table.live_node_ids(5.0) == ["n1"]
    assert table.known_node_ids() == ["n1", "n2", "n3"]
    table.target_addresses(32.0)
    assert table.known_node_ids() == ["n1", "n3"]
