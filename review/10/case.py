"""Two late heartbeats of an engine that has left: all nodes use it again, though it says no."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools-2"))

import world as worlds  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The answers of two heartbeats, 1.2 s apart, are lost; the store carries them out this much later.
# The page: a call without an answer may be executed seconds later; "late (done 1 to 6 s later)".
LATE_S = (4.8, 5.9)
DRAIN_S = worlds.DRAIN_MS / 1000
STABLE_S = worlds.STABLE_WINDOW_MS / 1000


async def play():
    world = worlds.World(HERE)
    record = world.record
    engine = world.engines[2]
    lost_at = []
    late_at = []
    removal = []

    def hold_back(entry):
        """Leave two heartbeats without an answer; the store carries them out later."""
        delay_s = LATE_S[len(lost_at)]
        lost_at.append(record.now())
        record.write(f"store: heartbeat {entry['seq_no']} of {engine.id} gets no answer")
        asyncio.get_running_loop().call_later(delay_s, write_late, entry)
        if len(lost_at) == len(LATE_S):
            engine.intercept = None
        return True

    def write_late(entry):
        late_at.append(record.now())
        record.write(f"store: heartbeat {entry['seq_no']} of {engine.id} is carried out")
        world.store.put("servers", engine.id, entry)
        if removal:
            removal.pop().cancel()
        removal.append(
            asyncio.get_running_loop().call_later(
                worlds.SILENT_BEATS * worlds.HEARTBEAT_S, remove_silent
            )
        )

    def remove_silent():
        record.write(f"store: entry of {engine.id} is removed after three silent intervals")
        world.store.delete("servers", engine.id)

    try:
        await world.start()
        await world.wait_ready()
        world.start_clients(clients=24, per_s=90)
        await asyncio.sleep(2.0)
        if HAS_TROUBLE:
            engine.intercept = hold_back
            while len(lost_at) < len(LATE_S):
                await asyncio.sleep(0.01)
        last_lost = record.now()
        # Planned work: the engine leaves without an announcement, once the store is stable again.
        await asyncio.sleep(STABLE_S + 0.2)
        engine.beats = False
        engine.is_leaving = True
        world.store.delete("servers", engine.id)
        left_at = record.now()
        record.write(f"store: entry of {engine.id} is removed, the engine serves on")
        await asyncio.sleep(last_lost + LATE_S[-1] + STABLE_S + 1.5 - record.now())
        engine.exit()
        record.write(f"{engine.id} exits")
        await asyncio.sleep(0.5)
        return judge(world, engine, left_at, late_at)
    finally:
        await world.stop()


def judge(world, engine, left_at, late_at):
    """Count the requests that reach the engine too late; all nodes are in touch."""
    record = world.record
    if not any(run[2] == engine.id and run[0] < left_at for run in world.runs):
        record.write("the case could not run")
        return 2
    if HAS_TROUBLE and not left_at < min(late_at):
        record.write("the case could not run: the machine is too slow")
        return 2
    late = [run for run in world.runs if run[2] == engine.id and run[0] > left_at + DRAIN_S]
    record.write(
        f"late: {len(late)} requests reach {engine.id} more than {DRAIN_S} s after "
        f"{left_at:.3f}, sent by machines in touch"
    )
    if late_at:
        # Also if the late writes themselves count as a disruption of the store.
        late = [run for run in late if run[0] >= max(late_at) + STABLE_S]
        record.write(f"of these, {len(late)} more than {STABLE_S} s after the last late write")
    failed = [key for key, value in world.answers.items() if not value.startswith("200 sealed")]
    record.write(f"requests without a success: {len(failed)}")
    for request_id in failed[:20]:
        record.write(f"  {request_id}: {world.answers[request_id]} ({world.sent[request_id]})")
    return 1 if late else 0


def main():
    try:
        code = asyncio.run(play())
    except (TimeoutError, OSError) as e:
        print(f"could not run: {e!r}")
        code = 2
    print({0: "held", 1: "DRAIN broken", 2: "could not run"}[code])
    sys.exit(code)


main()
