import pytest

from lynxlanding.dispatch import stall_board
from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import peer_report, peer_table, peer_view, report_codec


def report(node="n2", incarnation=1, sequence=1, **fields):
    return peer_report.PeerReport(node, incarnation, sequence, "127.0.0.1:7", 4, {1: 2}, **fields)


def test_a_report_survives_encoding():
    codec = report_codec.ReportCodec()
    sent = report(
        has_traffic=True,
        stalled=frozenset({5, 6}),
        busy_groups={"m": 1.5},
        loading=frozenset({7}),
    )
    assert codec.decode(codec.encode(sent)) == sent


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 64, b"\x10\x05\x50" * 20])
def test_unreadable_datagrams_have_a_type(data):
    codec = report_codec.ReportCodec()
    try:
        codec.decode(data)
    except membership_errors.MalformedMessage:
        return
    except Exception as e:
        pytest.fail(f"{type(e).__name__}: {e}")


def test_old_and_repeated_reports_are_no_news():
    table = peer_table.PeerTable("n1")
    assert table.note_report(report(sequence=2), 0.0)
    assert not table.note_report(report(sequence=2), 0.1)
    assert not table.note_report(report(sequence=1), 0.1)
    assert table.note_report(report(incarnation=2, sequence=1), 0.2)
    assert not table.note_report(report("n1", sequence=9), 0.3)


def test_a_silent_node_is_not_alive_but_still_told():
    """Guards against a node that loses its peers for good after a partition."""
    table = peer_table.PeerTable("n1")
    table.note_report(report(), 0.0)
    assert table.live(1.0) == ["n1", "n2"]
    later = peer_table.SILENCE_S + 0.1
    assert table.live(later) == ["n1"]
    assert table.targets(later) == ["127.0.0.1:7"]
    assert table.targets(peer_table.FORGET_S + 1) == []


def test_a_replaced_node_is_found_at_its_new_address():
    table = peer_table.PeerTable("n1")
    table.note_registered("n2", "127.0.0.1:8", 0.0)
    table.note_registered("n2", "127.0.0.1:9", 5.0)
    assert table.targets(5.0) == ["127.0.0.1:9"]


def test_a_node_whose_clock_was_set_back_is_heard_after_its_restart():
    """Guards against a node that is ignored for as long as its clock was ahead."""
    table = peer_table.PeerTable("n1")
    table.note_report(report(incarnation=900, sequence=50), 0.0)
    assert not table.note_report(report(incarnation=100, sequence=1), 0.5)
    later = peer_table.SILENCE_S + 0.1
    assert table.note_report(report(incarnation=100, sequence=1), later)
    assert table.live(later) == ["n1", "n2"]


def test_what_peers_report_is_added_up_while_they_live():
    """Guards against a need that counts the work of nodes that are gone."""
    stalls = stall_board.StallBoard()
    view = peer_view.PeerView(stalls)
    view.use_endpoints(["e1", "e2"])
    key = report_codec.endpoint_key("e1")
    sent = peer_report.PeerReport(
        "n2",
        1,
        1,
        "127.0.0.1:7",
        4,
        {key: 3, 99: 1},
        True,
        frozenset({key}),
        {"m": 1.5},
        frozenset({report_codec.endpoint_key("e2"), 98}),
    )
    assert view.apply(sent, 10.0) == {"e1": 3}
    assert view.has_traffic
    assert stalls.all(10.1) == {"e1"}
    assert view.add_busy_groups({"m": 1.0}, ["n1", "n2"]) == {"m": 2.5}
    assert view.add_busy_groups({"m": 1.0}, ["n1"]) == {"m": 1.0}
    assert view.loading(["n1", "n2"]) == {"e2"}
    assert view.loading(["n1"]) == set()
