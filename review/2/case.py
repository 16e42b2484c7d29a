"""An engine breaks off some of its answers (``garble``); clients compare what they get."""

import asyncio
import pathlib
import random
import sys

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / "lib"))

import harness  # noqa: E402

NODES = 3
ENGINES = 3
CLIENTS = 24
DURATION_S = 40.0
# Inside the largest doses of the site's `garble`: 0.6 of the engines, 0.05 of their answers.
GARBLED_ENGINES = 1
GARBLED_SHARE = 0.05
WORK_S = 0.06
BODY_BYTES = 800

random_state = random.Random(7)


def make_body(request_id):
    """Return the whole body of an engine's answer to a request."""
    return (f"answer to {request_id} ".encode() * 60)[:BODY_BYTES]


async def run(site, has_trouble):
    """Return whether a client got a success with less than the engine's whole body."""
    cut_at = {}

    async def answer(engine, request_id, request, writer):
        await asyncio.sleep(WORK_S)
        headers = [
            ("X-Request-Id", request_id),
            ("X-Response-Seal", f"3e1b.07.5a2.{BODY_BYTES}.0.c9f2a4d1"),
            ("X-Instance-Load", "1,0,6"),
            ("Keep-Alive", "timeout=5"),
            ("Content-Type", "application/octet-stream"),
        ]
        data = harness.encode(200, "OK", headers, make_body(request_id))
        is_garbled = has_trouble and engine in site.engines[:GARBLED_ENGINES]
        if is_garbled and random_state.random() < GARBLED_SHARE:
            # The answer breaks off at any of its bytes, and the connection ends.
            kept = random_state.randrange(1, len(data))
            cut_at[request_id] = kept
            site.record.write(f"break off {request_id} after {kept} of {len(data)} bytes")
            writer.write(data[:kept])
            await writer.drain()
            return False
        writer.write(data)
        await writer.drain()
        return True

    await site.start(ENGINES, answer)
    for index in range(NODES):
        site.start_node(f"front-{index}")
    await site.wait_ready()
    counts = {"sent": 0, "200 whole": 0, "200 not whole": 0, "other": 0}
    end = asyncio.get_running_loop().time() + DURATION_S

    async def client(index):
        number = 0
        while asyncio.get_running_loop().time() < end:
            number += 1
            request_id = f"{index:04x}{number:012x}"
            is_unsafe = number % 2 == 0
            port = site.port(f"front-{(index + number) % NODES}")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            if is_unsafe:
                writer.write(harness.request_bytes("POST", "/book/1", request_id, b"x" * 600))
            else:
                writer.write(harness.request_bytes("GET", "/look/1", request_id))
            counts["sent"] += 1
            site.record.write(f"send {request_id} {'unsafe' if is_unsafe else 'safe'}")
            response = await asyncio.wait_for(harness.read_response(reader), 6)
            writer.close()
            outcome = judge(request_id, response)
            counts[outcome] += 1
            status = None if response is None else response[0]
            size = 0 if response is None else len(response[2])
            seal = None if response is None else response[1].get("x-response-seal")
            site.record.write(
                f"answer {request_id}: {status}, {size} bytes, seal {seal}, {outcome}"
                + (f", engine broke off after {cut_at[request_id]}" if request_id in cut_at else "")
            )
            await asyncio.sleep(0.1)

    await asyncio.gather(*(client(index) for index in range(CLIENTS)))
    print(f"{counts}, answers that an engine broke off: {len(cut_at)}")
    site.record.write(f"{counts}, broken off by engines: {len(cut_at)}")
    return counts["200 not whole"] > 0


def judge(request_id, response):
    """Classify what a client got; a body that is cut short on the wire does not look complete."""
    if response is None or response[0] != 200 or not response[3]:
        return "other"
    return "200 whole" if response[2] == make_body(request_id) else "200 not whole"


harness.main(run, DIRECTORY)
