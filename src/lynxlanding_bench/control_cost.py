"""Command ``control-cost``: what membership and propagation cost a node, by number of nodes."""

import socket
import threading
import time
import tracemalloc

import click
import numpy as np
import urllib3
import waitress

from lynxlanding.daemon import control_plane
from lynxlanding.membership import (
    capnp_codec,
    exchange_handler,
    exchange_schedule,
    exchanger,
    gossip,
    http_transport,
    membership_actor,
    node_info,
    rendezvous,
    scopes,
)
from lynxlanding_bench import control_network, control_trial, result_file

WARM_UP_S = 4.0
MEASURED_S = 6.0
EXCHANGES = 300
# A load report each second within the data centre, and one summary of ten workspaces from one
# node of each data centre every two seconds everywhere.
LOAD_BYTES = 220
SUMMARY_BYTES = 240
CHANGES_PER_DAY = 2700
# Head, revision and manifest of the parent, one new part, manifest, revision, head.
READS_PER_COMMIT = 3
WRITES_PER_COMMIT = 4
LIMITS = {
    "bytes/s per node": 25_000,
    "core [%]": 2.9,
    "memory [MB]": 256,
    "fleet reads/s": 400,
    "fleet writes/s": 100,
}


@click.command("control-cost")
@click.option("--seed", default=1, show_default=True)
@click.option("--sizes", default="9,60,150,410", show_default=True, help="Numbers of nodes.")
def command(seed, sizes):
    """Measure control cost per node and its slope over the number of nodes."""
    rows = []
    for nodes in (int(size) for size in sizes.split(",")):
        rows.append(_measure(nodes, seed))
    if len(rows) > 1:
        rows.append(_slopes(rows))
    limits = {"nodes": "limit"} | LIMITS
    rows.append(limits)
    result_file.save("control-cost", seed, {"sizes": sizes}, rows)


def _measure(nodes, seed):
    trial = control_trial.ControlTrial(
        seed, nodes, control_network.ControlNetwork(seed), capnp_codec.CapnpCodec()
    )
    for node in trial.nodes.values():
        _publish_regularly(trial, node)
    trial.run(WARM_UP_S)
    for node in trial.nodes.values():
        node.sent_bytes = node.received_bytes = node.exchanges = 0
    trial.store_calls = 0
    trial.run(MEASURED_S)
    sent = [node.sent_bytes / MEASURED_S for node in trial.nodes.values()]
    received = [node.received_bytes / MEASURED_S for node in trial.nodes.values()]
    opened = sum(node.exchanges for node in trial.nodes.values()) / nodes / MEASURED_S
    exchange_s = _exchange_time(nodes, seed)
    tick_s = _tick_time(trial)
    core = 100 * (opened * exchange_s + 2 * tick_s)
    watching = sum(node.is_watching for node in trial.nodes.values())
    changes = CHANGES_PER_DAY / 86_400
    # Each pending watch counts as a call for as long as it is pending, beside its own request.
    reads = trial.store_calls / MEASURED_S + watching
    reads += nodes / control_plane.DISCOVERY_INTERVAL_S + changes * (
        READS_PER_COMMIT + 3 * watching
    )
    writes = nodes / control_plane.REGISTRATION_INTERVAL_S + changes * WRITES_PER_COMMIT
    return {
        "nodes": nodes,
        "sent bytes/s": float(np.mean(sent)),
        "bytes/s per node": float(np.mean(sent) + np.mean(received)),
        "exchanges/s": float(opened),
        "exchange [ms]": exchange_s * 1000,
        "core [%]": float(core),
        "memory [MB]": _memory(nodes) / 1e6,
        "fleet reads/s": float(reads),
        "fleet writes/s": float(writes),
    }


def _publish_regularly(trial, node):
    place = node.info.place
    peers = [name for name, other in trial.nodes.items() if other.info.place == place]
    is_summary_node = rendezvous.choose("summary", peers, 1) == [node.info.node_id]

    def publish(count):
        node.gossip.publish("load", bytes(LOAD_BYTES), scopes.PLACE)
        if is_summary_node and count % 2 == 0:
            node.gossip.publish("summary", bytes(SUMMARY_BYTES), scopes.WIDE)
        trial.after(1.0, publish, count + 1)

    trial.after(float(trial.random_state.uniform(0, 1)), publish, 0)


def _populated(name, nodes):
    """Return the infos of a fleet; the first one is in the first data centre."""
    places = control_network.places(nodes)
    infos = []
    for index in range(nodes):
        place = places[index % len(places)]
        infos.append(node_info.NodeInfo(f"{name}{index:03d}", 1, f"10.0.0.{index}:1", place, "r"))
    return infos


def _exchange_time(nodes, seed):
    """Return the processor time of one exchange, both sides, over HTTP on loopback."""
    infos = _populated("n", nodes)
    port = _free_port()
    codec = capnp_codec.CapnpCodec()
    random_state = np.random.default_rng(seed)
    actors = []
    for info in (infos[0], infos[len(control_network.places(nodes))]):
        actor = membership_actor.MembershipActor.start(info, 0.5, random_state, lambda *_: None)
        actors.append(actor.proxy())
    server = waitress.create_server(
        exchange_handler.ExchangeHandler(actors[1], codec), host="127.0.0.1", port=port, threads=2
    )
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    transport = http_transport.HttpTransport(urllib3.PoolManager())
    client = exchanger.Exchanger(transport, codec)
    tables = [actor._actor._gossip.table for actor in actors]
    records = [[table.register(info, 1, time.monotonic()) for info in infos] for table in tables]
    address = f"127.0.0.1:{port}"
    used = 0.0
    for index in range(EXCHANGES):
        # Two of three exchanges are within the data centre. Each side has heard newer heartbeats
        # of half of the nodes, and of new loads of its own data centre.
        now = time.monotonic()
        for side, table in enumerate(tables):
            for record in records[side][side::2]:
                table.record_heartbeat(record, record.heartbeat + 2, now)
                is_near = record.info.place == infos[0].place
                if is_near and record is not table.local:
                    record.publish("load", bytes(LOAD_BYTES), scopes.PLACE)
            actors[side].tick().get()
        scope = scopes.WIDE if index % 3 == 0 else scopes.PLACE
        planned = exchange_schedule.PlannedExchange(scope, address)
        started = time.process_time()
        client.run(actors[0], planned)
        used += time.process_time() - started
    # The last answer may still be on its way out of the server's thread.
    time.sleep(0.2)
    server.close()
    for actor in actors:
        actor.stop()
    return used / EXCHANGES


def _tick_time(trial):
    node = next(iter(trial.nodes.values()))
    started = time.process_time()
    for _ in range(50):
        node.gossip.tick(trial.now)
        node.schedule.due_exchanges(node.gossip.members(), trial.now)
    return (time.process_time() - started) / 50


def _memory(nodes):
    """Return the bytes of one node's table with its members and entries."""
    infos = _populated("m", nodes)
    tracemalloc.start()
    table = gossip.Gossip(infos[0], 0.0)
    for info in infos[1:]:
        copied = node_info.NodeInfo(
            "".join(info.node_id), 1, info.address + "", info.place + "", info.region + ""
        )
        record = table.table.register(copied, 1, 0.0)
        if info.place == infos[0].place:
            record.publish("load", bytes(LOAD_BYTES), scopes.PLACE)
    table.members()
    table.create_request(scopes.WIDE, 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _slopes(rows):
    sizes = [row["nodes"] for row in rows]
    slopes = {"nodes": "slope per 100 nodes"}
    for column in rows[0]:
        if column == "nodes":
            continue
        slope = np.polyfit(sizes, [row[column] for row in rows], 1)[0]
        slopes[column] = float(slope * 100)
    return slopes


def _free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
