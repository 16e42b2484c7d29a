"""Gauges of a node on its metrics address."""

import dataclasses
import math
import time

from lynxlanding.peers import protocol


def add_node_gauges(
    metrics,
    node_status,
    log,
    endpoint_handler,
    limit_table,
    cold_engines,
    reachability,
    peer_forwarder,
    part_guard,
    store,
):
    """Add the gauges of a node's requests, endpoints and store to its ``DeferredMetrics``."""
    metrics.add_gauge(
        "lynxlanding_requests_in_flight",
        "Requests in progress.",
        lambda: node_status.in_flight,
    )
    metrics.add_gauge(
        "lynxlanding_log_lines_dropped",
        "Log lines dropped to bound their volume.",
        lambda: log.dropped_total,
    )
    metrics.add_gauge(
        "lynxlanding_endpoint_records_ignored",
        "Registrations of endpoints that did not replace the known ones.",
        lambda: endpoint_handler.ignored_total,
    )
    metrics.add_gauge(
        "lynxlanding_limited_endpoints",
        "Endpoints that state how many requests a second they take.",
        lambda: len(limit_table.stated_ids),
    )
    metrics.add_gauge(
        "lynxlanding_cold_engines",
        "Engines that get few requests because they have just started or were evacuated.",
        lambda: len(cold_engines.cold_ids),
    )
    metrics.add_gauge(
        "lynxlanding_endpoints_unreachable",
        "1 while this node reaches no endpoint.",
        lambda: int(reachability.is_cut),
    )
    metrics.add_gauge(
        "lynxlanding_requests_handed_over",
        "Requests that other nodes were asked to serve, since the start of the process.",
        lambda: peer_forwarder.total,
    )
    metrics.add_gauge(
        "lynxlanding_prompt_quarantines",
        "Sets of parts of prompts that are refused because engines have crashed under them.",
        lambda: len(part_guard.quarantines) - part_guard.count_requests(),
    )
    metrics.add_gauge(
        "lynxlanding_request_quarantines",
        "Requests that are refused because engines have crashed under them.",
        part_guard.count_requests,
    )
    metrics.add_gauge(
        "lynxlanding_registry_age_seconds",
        "Time since the store last confirmed the endpoints.",
        lambda: _registry_age_s(node_status),
    )
    metrics.add_gauge(
        "lynxlanding_configuration_version",
        "Version of the configuration in force.",
        lambda: node_status.configuration_version or 0,
    )
    metrics.add_gauge(
        "lynxlanding_store_era",
        "Era of the store; increases when it comes back from an older copy.",
        lambda: store.era or 0,
    )


def add_dispatch_gauges(metrics, serving):
    """Add the gauges of the placement of requests, from the ``ServingActor`` proxy."""
    metrics.add_gauge(
        "lynxlanding_held_heads",
        "Heads that get no requests of this node because they have rejected some.",
        lambda: serving.held_heads(time.monotonic()).get(),
    )
    metrics.add_gauge(
        "lynxlanding_requests_shed",
        "Requests refused because the groups were short of capacity, since the process started.",
        lambda: serving.shed_total().get(),
    )


def add_evacuation_gauges(metrics, state):
    """Add the gauges of a node's ``EvacuatedDataCentres``."""
    metrics.add_gauge(
        "lynxlanding_evacuated_data_centres",
        "Data centres whose endpoints get no requests from this node.",
        lambda: len(state.data_centres),
    )
    metrics.add_gauge(
        "lynxlanding_evacuations_age_seconds",
        "Time since the store returned the evacuations that this node goes by.",
        lambda: _read_age_s(state),
    )


def add_peer_gauges(metrics, transport, table, copies):
    """Add the gauges of the reports between nodes.

    Parameters
    ----------
    metrics : DeferredMetrics
        Metrics of the node.
    transport : ReportTransport
        Counts datagrams.
    table : PeerTable
        The other nodes.
    copies : ConfigurationCopies
        Counts copies of the configuration.
    """
    metrics.add_gauge(
        "lynxlanding_configuration_copies_sent",
        "Copies of the configuration sent to other nodes since the start of the process.",
        lambda: copies.sent_total,
    )
    metrics.add_gauge(
        "lynxlanding_configuration_copies_received",
        "Copies of the configuration taken from other nodes since the start of the process.",
        lambda: copies.received_total,
    )
    metrics.add_gauge(
        "lynxlanding_peer_datagrams_sent",
        "Datagrams sent to other nodes since the start of the process.",
        lambda: transport.sent.datagrams,
    )
    metrics.add_gauge(
        "lynxlanding_peer_bytes_sent",
        "Bytes of these datagrams.",
        lambda: transport.sent.bytes,
    )
    metrics.add_gauge(
        "lynxlanding_peer_datagrams_received",
        "Datagrams received from other nodes since the start of the process.",
        lambda: transport.received.datagrams,
    )
    metrics.add_gauge(
        "lynxlanding_peer_bytes_received",
        "Bytes of these datagrams.",
        lambda: transport.received.bytes,
    )
    metrics.add_gauge(
        "lynxlanding_peer_datagrams_malformed",
        "Dropped reports and digests that could not be decoded.",
        lambda: transport.malformed_total,
    )
    metrics.add_gauge(
        "lynxlanding_unknown_datagrams",
        "Skipped datagrams of kinds that this version does not know.",
        lambda: transport.unknown_total,
    )
    metrics.add_gauge(
        "lynxlanding_gathered_nodes",
        "Nodes whose reports this one gathers and passes on as digests.",
        lambda: transport.member_count,
    )
    metrics.add_gauge(
        "lynxlanding_nodes_of_other_protocol",
        "Live nodes that speak another version of the protocol between nodes.",
        lambda: _count_nodes_of_other_protocol(table),
    )


def add_store_gauges(metrics, store_calls):
    """Add the gauge of the calls that a ``CallCounter`` has counted."""
    metrics.add_labelled_gauge(
        "lynxlanding_store_calls",
        "Calls to the store since the start of the process.",
        lambda: _label_calls(store_calls.counts()),
    )


def _label_calls(counts):
    return [(count, dataclasses.asdict(key)) for key, count in counts.items()]


def _count_nodes_of_other_protocol(table):
    counts = table.count_live_by_version(time.monotonic())
    return sum(counts.values()) - counts[protocol.CURRENT]


def _read_age_s(state):
    age_s = state.read_age_s(time.monotonic())
    return math.nan if age_s is None else age_s


def _registry_age_s(node_status):
    age_s = node_status.registry_age_s
    return math.nan if age_s is None else age_s
