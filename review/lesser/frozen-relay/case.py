"""The node that reads the store for the others freezes; they notice too late that an engine leaves."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "tools-2"))

import world as worlds  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 7
FREEZE_S = 4.0
DRAIN_S = worlds.DRAIN_MS / 1000
# Watches of the relay that end between a change without an effect and the freeze.
WATCHES = 3


class StorePort:
    """Address of the store for one node, which tells whose calls they are."""

    def __init__(self, world):
        self._world = world
        self.port = worlds.free_ports(1)[0]
        self.answered = asyncio.Event()
        self.watches = []

    async def open(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, worlds.HOST, self.port)

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _, body = await worlds.read_message(reader)
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)
                status, document = await self._world.store.call(method, target, body)
                headers = [("Content-Type", "application/json")]
                writer.write(worlds.response(status, json.dumps(document).encode(), headers))
                await writer.drain()
                if "/servers?watch" in target:
                    self.watches.append(time.monotonic())
                    self.answered.set()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def count_watches(self, seconds):
        """Return how many watches of the engines have been answered of late."""
        since = time.monotonic() - seconds
        return sum(at > since for at in self.watches)

    async def wait_for_watch(self):
        """Wait until the next watch of the engines has been answered."""
        self.answered.clear()
        await asyncio.wait_for(self.answered.wait(), 4.0)


class Play:
    """The rounds, and what was seen in them."""

    def __init__(self):
        self.world = worlds.World(HERE, engines=3, nodes=3)
        self.record = self.world.record
        self.ports = {node.name: StorePort(self.world) for node in self.world.nodes}
        self.version = 1
        # Acknowledgement of the leaving and name of the frozen node, by engine.
        self.leavings = {}
        fields = self.world.fields
        self.world.fields = lambda node: {
            **fields(node),
            "provider.address": f"{worlds.HOST}:{self.ports[node.name].port}",
        }

    async def run(self):
        """Play all rounds and return the exit code."""
        world = self.world
        try:
            for port in self.ports.values():
                await port.open()
            await world.start()
            await world.wait_ready()
            world.start_clients(clients=36, per_s=180)
            await asyncio.sleep(4.0)
            for number in range(ROUNDS):
                await self.play_round(number)
            return self.judge()
        finally:
            await world.stop()

    async def play_round(self, number):
        """Let an engine leave right after the relay has passed on what the store says."""
        world = self.world
        counts = {name: port.count_watches(2.0) for name, port in self.ports.items()}
        relay = max(counts, key=counts.get)
        node = next(item for item in world.nodes if item.name == relay)
        engine = world.engines[-3]
        self.version += 1
        world.store.put("config", "main", world.configuration(self.version))
        self.record.write(f"round {number}: version {self.version}, watches {counts}")
        for _ in range(1 + WATCHES):
            await self.ports[relay].wait_for_watch()
        # The relay passes on at once what the store has answered.
        await asyncio.sleep(0.03)
        if HAS_TROUBLE:
            node.signal(signal.SIGSTOP)
            self.record.write(f"{relay} freezes")
        engine.state = "draining"
        engine.is_leaving = True
        world.store.put("servers", engine.id, engine.entry())
        self.leavings[engine.id] = (self.record.now(), relay)
        self.record.write(f"store: {engine.id} is draining, acknowledged")
        await asyncio.sleep(FREEZE_S)
        if HAS_TROUBLE:
            node.signal(signal.SIGCONT)
            self.record.write(f"{relay} goes on")
        await self.add_engine()
        await asyncio.sleep(4.5)

    async def add_engine(self):
        """Start an engine in place of the one that has left."""
        world = self.world
        number = len(world.engines)
        port = worlds.free_ports(1)[0]
        engine = worlds.Engine(world, number, port, world.nodes[number % 3].zone)
        world.engines.append(engine)
        await engine.start()

    def judge(self):
        """Count the requests that reach a leaving engine too late, from nodes in touch."""
        late = []
        last = {}
        for at, request_id, engine_id, _ in self.world.runs:
            left = self.leavings.get(engine_id)
            name = self.world.sent[request_id][1]
            if left is None or at <= left[0] or name == left[1]:
                continue
            last[engine_id, name] = round(at - left[0], 3)
            if at > left[0] + DRAIN_S:
                late.append((request_id, name, engine_id, round(at - left[0], 3)))
        for engine_id, name in sorted(last):
            self.record.write(f"last request of {name} at {engine_id}: {last[engine_id, name]} s")
        for item in late:
            self.record.write(f"late: {item}")
        self.record.write(f"late: {len(late)} requests, sent by machines in touch")
        print(len(late), sorted(last.values()))
        return 1 if late else 0


def main():
    """Run the case and exit with its code."""
    try:
        code = asyncio.run(asyncio.wait_for(Play().run(), 115.0))
    except (TimeoutError, OSError) as e:
        print(f"could not run: {e!r}")
        code = 2
    print({0: "held", 1: "DRAIN broken", 2: "could not run"}[code])
    sys.exit(code)


main()
