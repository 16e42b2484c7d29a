"""Formats between nodes across versions, as in a fleet whose nodes are replaced in turn.

The recorded datagrams were encoded by the version named with them. A change that these tests
reject makes old and new nodes misunderstand each other while both run.
"""

import dataclasses
import pathlib

import capnp
import pytest

from lynxlanding.crashes import statements
from lynxlanding.peers import (
    feed_codec,
    feed_message,
    peer_identity,
    peer_report,
    peer_table,
    protocol,
    report_codec,
    report_transport,
)
from lynxlanding.store import store_version, stored_object

FORMATS = pathlib.Path(__file__).parent / "formats"

REPORT = peer_report.PeerReport(
    "front-a-1",
    1792208088175000000,
    77,
    "10.1.0.40:7340",
    12,
    {11: 3, 12: 1},
    True,
    frozenset({5, 6}),
    {"m": 1.5},
    frozenset({7}),
    True,
    (
        peer_report.ReportedLimit(8, 1792208088175, 1.4, 250),
        peer_report.ReportedLimit(9, 1, None, 0),
    ),
    statements.PromptStatements(
        (statements.EndStatement(21, 22, -0.5, {31: -0.75}),),
        (statements.HarmlessStatement(31, -0.25),),
        (statements.QuarantineStatement(frozenset({31, 32}), -4.0, -3.0, -2.0, 2, -1.0),),
    ),
    "10.1.0.40:8227",
    True,
    True,
    (peer_report.ReportedLeaving(41, 42, 43),),
)
# Encoded by abfa759.
UNSTATED_REPORT = bytes.fromhex(
    "104350030cffc0b940bbc233df1800d14d0f2320010c112d5211317a11dd2711311511391711310d114157"
    "116927118517118d37000011a91fff66726f6e742d612d000131ff31302e312e302e34003f303a37333430"
    "010501060107510401010cc03f110112016d11080501083f6f2ced47a101ff666666666666f63f00000001"
    "fa01090101000001010000510403010115011603f401110117110402011f03ee02110402011f01fa510405"
    "0103a00f03b80b03d00703e8030102110115011f01201104030129012a012b110802010b0103010c0101"
)
UNSTATED_FEED = bytes.fromhex(
    "ff6c7866789c15cc410e82401044d1bbd4ba371875315721c4749cc2109121dd3d1a43b83bc3f6fd4a6d78"
    "4f4b4682d3be348780a6489d40c7a0215d056798ca827417ac351ca9efc10e72930d1e1a6c0746cd7fecc3"
    "20c89c193c67e0050d9ee5b39e84145629f8a93f4a0d7d35197576ee0782d52c5b"
)
UNSTATED_SUBSCRIPTION = bytes.fromhex(
    "ff6c7866789cab562a2e4d2a4e2eca4c4a2d52b2523234d033d433d03331b43237363150aa05009d5b08a8"
)


def test_report_of_a_version_that_states_none():
    assert report_codec.ReportCodec().decode(UNSTATED_REPORT) == REPORT
    assert REPORT.protocol_version == protocol.UNSTATED


def test_feed_of_a_version_that_states_none():
    version = store_version.StoreVersion
    put = stored_object.StoredObject("servers", "e1", version(1, 5), {"state": "ready"})
    message = feed_message.FeedMessage("servers", version(1, 4), version(1, 6), (put,), ("e2",))
    assert feed_codec.decode(UNSTATED_FEED) == message
    subscription = feed_message.Subscription("10.1.0.41:7340")
    assert feed_codec.decode(UNSTATED_SUBSCRIPTION) == subscription


def test_earlier_versions_skip_the_fields_of_cold_engines():
    """Guards against a node that is not replaced yet and drops the reports of those that are."""
    report = dataclasses.replace(REPORT, cold=(peer_report.ReportedCold(51, 52, 3000, 54),))
    current = report_codec.ReportCodec()
    assert current.decode(current.encode(report)) == report
    schema = capnp.load(str(FORMATS / "peer_report_unstated.capnp")).PeerReport
    known = schema.from_bytes_packed(UNSTATED_REPORT).to_dict()
    sent = schema.from_bytes_packed(current.encode(report)).to_dict()
    assert {name: sent[name] for name in known} == known


@pytest.mark.parametrize("schema_file", sorted(FORMATS.glob("*.capnp")), ids=lambda path: path.stem)
def test_earlier_versions_read_what_this_one_sends(schema_file):
    """Guards against a field that changes its number or meaning."""
    schema = capnp.load(str(schema_file)).PeerReport
    current = report_codec.ReportCodec()
    known = schema.from_bytes_packed(UNSTATED_REPORT).to_dict()
    sent = schema.from_bytes_packed(current.encode(REPORT)).to_dict()
    assert {name: sent[name] for name in known} == known


def test_evacuations_are_a_field_that_earlier_versions_skip():
    """Guards against reports that earlier nodes drop, and against evacuations they never stated."""
    codec = report_codec.ReportCodec()
    assert codec.decode(UNSTATED_REPORT).evacuations is None
    reading = peer_report.ReportedEvacuations(("a", "b"), 2, 1 << 40, 250)
    data = codec.encode(dataclasses.replace(REPORT, evacuations=reading))
    assert codec.decode(data).evacuations == reading
    schema = capnp.load(str(FORMATS / "peer_report_unstated.capnp")).PeerReport
    assert schema.from_bytes_packed(data).nodeId == REPORT.node_id
    none = dataclasses.replace(REPORT, evacuations=peer_report.ReportedEvacuations((), 2, 3, 0))
    assert codec.decode(codec.encode(none)).evacuations.data_centres == ()


def test_datagrams_of_unknown_kinds_are_skipped_and_counted(caplog):
    """Pattern: a later version sends something new to a node that has not been replaced yet."""
    transport = report_transport.ReportTransport(
        peer_identity.PeerIdentity("n1", 1, "127.0.0.1:0", "a"),
        peer_table.PeerTable("n1"),
        lambda: None,
        lambda report, now: None,
        lambda digest, own, now: None,
        lambda data, now: None,
    )
    for _ in range(3):
        transport.receive(protocol.DATAGRAM_PREFIX + b"z\x00", ("127.0.0.1", 9), 0.0)
    assert transport.unknown_total == 3
    assert len(caplog.records) == 1


def test_registration_tells_the_version_until_reports_do():
    table = peer_table.PeerTable("n1")
    table.record_registration("n2", "127.0.0.1:7", 0.0, protocol.STATED)
    assert table.peers["n2"].protocol_version == protocol.STATED
    table.record_report(REPORT_OF_OLD_N2, 0.1)
    table.record_registration("n2", "127.0.0.1:7", 0.2, protocol.STATED)
    assert table.peers["n2"].protocol_version == protocol.UNSTATED
    assert table.count_live_by_version(0.2) == {protocol.CURRENT: 1, protocol.UNSTATED: 1}


# A node that went back to an earlier version; its registration is the later one's until rewritten.
REPORT_OF_OLD_N2 = peer_report.PeerReport("n2", 1, 1, "127.0.0.1:7", 4, {})
