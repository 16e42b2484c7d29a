"""A late heartbeat brings back the entry of an engine that has left; a restarted node uses it."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "tools-2"))

import world as worlds  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The page: a call without an answer may be executed seconds later; "late (done 1 to 6 s later)".
LATE_S = 5.8
DRAIN_S = worlds.DRAIN_MS / 1000
STABLE_S = worlds.STABLE_WINDOW_MS / 1000


async def play():
    world = worlds.World(HERE)
    record = world.record
    engine = world.engines[2]
    node = world.nodes[1]
    moments = {}

    def hold_back(entry):
        """Leave one heartbeat without an answer; the store carries it out later."""
        engine.intercept = None
        moments["lost"] = record.now()
        record.write(f"store: heartbeat {entry['seq_no']} of {engine.id} gets no answer")
        asyncio.get_running_loop().call_later(LATE_S, write_late, entry)
        return True

    def write_late(entry):
        moments["late"] = record.now()
        record.write(f"store: heartbeat {entry['seq_no']} of {engine.id} is carried out")
        world.store.put("servers", engine.id, entry)
        # The entry is silent from now on.
        asyncio.get_running_loop().call_later(
            worlds.SILENT_BEATS * worlds.HEARTBEAT_S, remove_silent
        )

    def remove_silent():
        moments["lapsed"] = record.now()
        record.write(f"store: entry of {engine.id} is removed after three silent intervals")
        world.store.delete("servers", engine.id)

    try:
        await world.start()
        await world.wait_ready()
        world.start_clients(clients=24, per_s=90)
        await asyncio.sleep(2.0)
        if HAS_TROUBLE:
            engine.intercept = hold_back
            while "lost" not in moments:
                await asyncio.sleep(0.01)
        else:
            moments["lost"] = record.now()
        begun = moments["lost"]
        # Planned work: the node is stopped and started in turn.
        await asyncio.sleep(begun + 0.5 - record.now())
        record.write(f"SIGTERM to {node.name}")
        node.signal(signal.SIGTERM)
        # Planned work: the engine leaves without an announcement, once the store is stable.
        await asyncio.sleep(begun + STABLE_S + 0.2 - record.now())
        engine.beats = False
        engine.is_leaving = True
        world.store.delete("servers", engine.id)
        left_at = record.now()
        record.write(f"store: entry of {engine.id} is removed, the engine serves on")
        await node.process.wait()
        record.write(f"node {node.name} has ended")
        await asyncio.sleep(0.2)
        await node.start()
        await asyncio.sleep(begun + LATE_S + STABLE_S + 1.5 - record.now())
        engine.exit()
        record.write(f"{engine.id} exits")
        await asyncio.sleep(0.5)
        return judge(world, engine, node, left_at, moments)
    finally:
        await world.stop()


def judge(world, engine, node, left_at, moments):
    """Count the requests that reach the engine too late, from machines in touch."""
    record = world.record
    runs_of_node = [run for run in world.runs if world.sent[run[1]][1] == node.name]
    served = [run for run in runs_of_node if run[0] > node.started_at]
    before = [run for run in world.runs if run[2] == engine.id and run[0] < left_at]
    if not served or not before:
        record.write("the case could not run")
        return 2
    in_touch_from = node.started_at + STABLE_S
    late = []
    for at, request_id, endpoint_id, _ in world.runs:
        sent_at, name = world.sent[request_id]
        if endpoint_id != engine.id or at <= left_at + DRAIN_S:
            continue
        if name == node.name and sent_at < in_touch_from:
            continue
        late.append((at, request_id, name))
    record.write(
        f"late: {len(late)} requests reach {engine.id} more than {DRAIN_S} s after "
        f"{left_at:.3f}, sent by machines in touch"
    )
    strict = late
    if "late" in moments:
        # Also if the late write itself counts as a disruption of the store.
        strict = [item for item in late if item[0] >= moments["late"] + STABLE_S]
        record.write(f"of these, {len(strict)} more than {STABLE_S} s after the late write")
    failed = [key for key, value in world.answers.items() if not value.startswith("200 sealed")]
    record.write(f"requests without a success: {len(failed)}")
    for request_id in failed[:20]:
        record.write(f"  {request_id}: {world.answers[request_id]} ({world.sent[request_id]})")
    return 1 if strict else 0


def main():
    try:
        code = asyncio.run(play())
    except (TimeoutError, OSError) as e:
        print(f"could not run: {e!r}")
        code = 2
    print({0: "held", 1: "DRAIN broken", 2: "could not run"}[code])
    sys.exit(code)


main()
