"""Evacuations on their way from the store and from other nodes to the owners of the state."""

import dataclasses
import time

import eliot
import pytest

from lynxlanding.crashes import statements
from lynxlanding.dispatch import dispatch_decision, request_logger
from lynxlanding.dispatch.tests import dispatch_factories, test_request_forwarder
from lynxlanding.fleet import evacuated_data_centres
from lynxlanding.node import evacuation_handler, node_status, peer_report_handler
from lynxlanding.peers import configuration_copies, peer_report
from lynxlanding.platform import configuration_codec
from lynxlanding.platform.tests import test_codecs
from lynxlanding.store import store_version, stored_object


class RecordingServing:
    def __init__(self, events):
        self._events = events

    def use_evacuated(self, data_centres):
        self._events.append(("use", sorted(data_centres)))
        return dispatch_factories.CompletedFuture(None)


class Installation:
    def __init__(self):
        self.events = []
        self.lines = []
        self.status = node_status.NodeStatus(needs_evacuations=True)
        self.handler = evacuation_handler.EvacuationHandler(
            evacuated_data_centres.EvacuatedDataCentres(),
            RecordingServing(self.events),
            self.status,
            lambda: self.events.append(("changed",)),
            lambda data_centre, now: self.events.append(("ended", data_centre, now)),
        )

    def lines_of(self, message_type):
        return [line for line in self.lines if line["message_type"] == message_type]


@pytest.fixture
def installation():
    made = Installation()
    eliot.add_destinations(made.lines.append)
    yield made
    eliot.remove_destination(made.lines.append)


def version(revision, era=1):
    return store_version.StoreVersion(era, revision)


def stored(name, value=None, revision=1):
    return stored_object.StoredObject("evacuations", name, version(revision), value)


def test_beginning_and_end_are_logged_with_their_age(installation):
    """Also guards against requests to cold engines before it is known that they may be cold."""
    handler = installation.handler
    handler.on_list([], version(1), 10.0, False)
    handler.on_changes([stored("a", {"reason": 7})], [], version(2), 10.5, False)
    handler.on_changes([], ["a"], version(3), 19.5, False)
    assert installation.events == [
        ("use", ["a"]),
        ("changed",),
        ("ended", "a", 19.5),
        ("use", []),
        ("changed",),
    ]
    (began,) = installation.lines_of(evacuation_handler.EVACUATION_BEGAN)
    (ended,) = installation.lines_of(evacuation_handler.EVACUATION_ENDED)
    assert (began["data_centre"], began["source"], began["version"]) == ("a", "store", "1.2")
    assert (began["age_s"], began["unread_s"], began["evacuated"]) == (0.0, 0.5, ["a"])
    assert (ended["unread_s"], ended["evacuated"]) == (9.0, [])


@pytest.mark.parametrize("value", [{}, None, [], "x", {"until": -1}])
def test_any_value_evacuates(installation, value):
    installation.handler.on_list([stored("a", value)], version(1), 1.0, False)
    assert installation.handler.state.data_centres == {"a"}


def test_entry_that_cannot_be_decoded_closes_nothing_and_is_logged(installation):
    handler = installation.handler
    handler.on_list([stored("a\n"), stored("b")], version(1), 1.0, False)
    assert handler.state.data_centres == {"b"}
    (line,) = installation.lines_of(evacuation_handler.ENTRY_SKIPPED)
    assert line["entry"] == "a\n"


def test_unknown_data_centre_is_logged_once(installation):
    """Guards against an evacuation that has no effect because of a typing error."""
    handler = installation.handler
    handler.on_list([stored("a"), stored("bb")], version(1), 1.0, False)
    for _ in range(3):
        handler.log_unknown({"a", "b"})
    (line,) = installation.lines_of(evacuation_handler.DATA_CENTRE_UNKNOWN)
    assert (line["data_centre"], line["known"]) == ("bb", ["a", "b"])
    handler.on_changes([], ["bb"], version(2), 2.0, False)
    handler.log_unknown({"a", "b"})
    handler.on_changes([stored("bb")], [], version(3), 3.0, False)
    handler.log_unknown({"a", "b"})
    assert len(installation.lines_of(evacuation_handler.DATA_CENTRE_UNKNOWN)) == 2


def test_node_is_not_ready_before_it_knows_the_evacuations(installation):
    """Guards against requests of a starting node to a data centre that was emptied before."""
    status = installation.status
    status.use_configuration(configuration_codec.decode(test_codecs.configuration_document()))
    status.confirm_registry(1.0)
    assert not status.is_ready
    assert not status._initial_sync_done.is_set()
    installation.handler.on_list([], version(1), 1.0, False)
    assert status.is_ready
    assert status._initial_sync_done.is_set()


def test_missing_evacuations_do_not_keep_a_node_from_serving(installation, monkeypatch):
    """Guards against a node that never gets ready because one kind cannot be read."""
    status = installation.status
    status.use_configuration(configuration_codec.decode(test_codecs.configuration_document()))
    status.confirm_registry(1.0)
    monkeypatch.setattr(node_status, "INITIAL_SYNC_TIMEOUT_S", 0.0)
    assert status.is_ready


def test_nodes_that_do_not_watch_evacuations_wait_for_none():
    status = node_status.NodeStatus()
    status.use_configuration(configuration_codec.decode(test_codecs.configuration_document()))
    status.confirm_registry(1.0)
    assert status.is_ready


class StubPeers:
    """Serving actor, view, leavings and part guard that take everything and hold nothing."""

    def apply(self, report, now):
        return None

    def apply_peer(self, prompts, peer_id, now):
        return []

    def resolve_limits(self, source, now):
        return []

    resolve_leavings = resolve_limits
    resolve_cold = resolve_limits

    def resolve_ends(self, prompts):
        return []


def make_report(evacuations):
    report = peer_report.PeerReport("n2", 1, 1, "127.0.0.1:1", 0, {})
    return dataclasses.replace(
        report, evacuations=evacuations, prompts=statements.PromptStatements()
    )


def make_report_handler(evacuations):
    peers = StubPeers()
    return peer_report_handler.PeerReportHandler(
        peers,
        None,
        peers,
        peers,
        peers,
        peers,
        None,
        None,
        configuration_copies.ConfigurationCopies("config", None, None),
        evacuations,
    )


def test_reports_reach_a_node_without_the_store(installation):
    reports = make_report_handler(installation.handler)
    reports.on_report(make_report(None), 1.0)
    assert not installation.handler.state.is_known
    reading = peer_report.ReportedEvacuations(("a",), 1, 7, 300)
    reports.on_report(make_report(reading), 5.0)
    assert installation.handler.state.data_centres == {"a"}
    (line,) = installation.lines_of(evacuation_handler.EVACUATION_BEGAN)
    assert (line["source"], line["version"], line["age_s"]) == ("n2", "1.7", 0.3)


def test_reports_have_no_effect_on_nodes_that_do_not_watch_evacuations():
    reading = peer_report.ReportedEvacuations(("a",), 1, 7, 300)
    make_report_handler(None).on_report(make_report(reading), 5.0)


def test_decisions_are_logged_with_the_evacuations_they_go_by(installation):
    """The lines of each request stay short while no data centre is evacuated."""
    logger = request_logger.RequestLogger(installation.status)
    request = test_request_forwarder.make_forwarder(1, dispatch_factories.make_route())[0]._request
    refusal = dispatch_decision.Refuse("every endpoint is in an evacuated data centre", 0.5)
    logger.log_refused(request, refusal, 0)
    installation.handler.on_list([stored("a")], version(1), time.monotonic(), False)
    logger.log_refused(request, refusal, 0)
    before, after = installation.lines_of(request_logger.REFUSED)
    assert "evacuated" not in before
    assert list(after["evacuated"]) == ["a"]
    assert 0 <= after["evacuations_age_s"] < 5
