import pathlib

import capnp
import pytest

from lynxlanding.crashes import request_digest, statements
from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import peer_report, report_codec

END = statements.EndStatement(1 << 63, 1_700_000_000_000, -0.25, {0xBAD: -0.5, (1 << 64) - 1: -1.0})
HARMLESS = statements.HarmlessStatement(0xA1, -1.5)
QUARANTINE = statements.QuarantineStatement(frozenset({0xA1, 0xBAD}), -9.0, -8.0, -0.125, 1, -2.0)


def round_trip(prompts):
    codec = report_codec.ReportCodec()
    report = peer_report.PeerReport("n1", 1, 1, "127.0.0.1:1", 1, {}, prompts=prompts)
    return codec.decode(codec.encode(report)).prompts


def test_statements_survive_encoding():
    prompts = statements.PromptStatements((END,), (HARMLESS,), (QUARANTINE,))
    assert round_trip(prompts) == prompts


def test_times_are_relative_to_the_report():
    """Guards against nodes that take each other's clocks for their own."""
    prompts = statements.PromptStatements((END,), (HARMLESS,), (QUARANTINE,)).shift(500.0)
    received = round_trip(prompts.shift(-500.0)).shift(70.0)
    assert received.ends[0].ended_at == 69.75
    assert received.ends[0].sent_at_by_part[0xBAD] == 69.5
    assert received.harmless[0].begun_at == 68.5
    assert received.quarantines[0].last_seen_at == 69.875


def test_start_time_that_the_encoding_cannot_hold_is_left_out():
    end = statements.EndStatement(1, -5, -0.25, {0xBAD: -0.5})
    assert round_trip(statements.PromptStatements((end,))).ends == ()


def test_quarantine_of_all_prompts_is_malformed():
    """Guards against a report that makes nodes refuse everything."""
    empty = statements.QuarantineStatement(frozenset(), -9.0, -8.0, 0.0, 0, -9.0)
    with pytest.raises(membership_errors.MalformedMessage):
        round_trip(statements.PromptStatements((), (), (empty,)))


def test_largest_report_fits_a_datagram():
    parts = {number << 40: -0.5 for number in range(1, 33)}
    ends = tuple(statements.EndStatement(number, 1 << 40, -0.5, parts) for number in range(8))
    harmless = tuple(statements.HarmlessStatement(number << 40, -1.0) for number in range(32))
    quarantines = tuple(
        statements.QuarantineStatement(frozenset(parts), -9.0, -8.0, -7.0, 3, -6.0)
        for _ in range(8)
    )
    report = peer_report.PeerReport(
        "n1",
        1,
        1,
        "127.0.0.1:1",
        1,
        {},
        prompts=statements.PromptStatements(ends, harmless, quarantines),
    )
    assert len(report_codec.ReportCodec().encode(report)) < report_codec.MAX_DATAGRAM_BYTES


REQUEST = request_digest.from_digest((1 << 64) - 2)
REQUEST_STATEMENTS = statements.PromptStatements(
    (statements.EndStatement(7, 8, -0.25, {0xBAD: -0.5, REQUEST: -0.75}),),
    (HARMLESS, statements.HarmlessStatement(REQUEST, -1.25)),
    (QUARANTINE, statements.QuarantineStatement(frozenset({REQUEST}), -9.0, -8.0, -0.5, 2, -3.0)),
)


def test_statements_on_requests_survive_encoding():
    assert round_trip(REQUEST_STATEMENTS) == REQUEST_STATEMENTS


def test_nodes_of_earlier_versions_read_what_is_said_about_parts():
    """Guards against requests that earlier versions take for parts of prompts."""
    schema_file = pathlib.Path(__file__).parent / "formats" / "peer_report_unstated.capnp"
    earlier = capnp.load(str(schema_file)).PeerReport
    report = peer_report.PeerReport("n1", 1, 1, "127.0.0.1:1", 1, {}, prompts=REQUEST_STATEMENTS)
    read = earlier.from_bytes_packed(report_codec.ReportCodec().encode(report))
    assert [part.part for part in read.ends[0].parts] == [0xBAD]
    assert [item.part for item in read.harmless] == [HARMLESS.part]
    assert [set(item.parts) for item in read.quarantines] == [QUARANTINE.parts]


def test_largest_report_with_requests_fits_a_datagram():
    keys = [request_digest.from_digest(number << 40) for number in range(1, 33)]
    ends = []
    for number in range(8):
        ends.append(statements.EndStatement(number, 1 << 40, -0.5, dict.fromkeys(keys, -0.5)))
    harmless = [statements.HarmlessStatement(number << 40, -1.0) for number in range(32)]
    harmless += [statements.HarmlessStatement(key, -1.0) for key in keys[:16]]
    quarantines = []
    for _ in range(8):
        parts = frozenset(number << 40 for number in range(1, 33))
        quarantines.append(statements.QuarantineStatement(parts, -9.0, -8.0, -7.0, 3, -6.0))
    prompts = statements.PromptStatements(tuple(ends), tuple(harmless), tuple(quarantines))
    report = peer_report.PeerReport("n1", 1, 1, "127.0.0.1:1", 1, {}, prompts=prompts)
    assert len(report_codec.ReportCodec().encode(report)) < report_codec.MAX_DATAGRAM_BYTES
