"""An engine spoils a byte of some streams (``garble``); clients check the order of events."""

import asyncio
import pathlib
import random
import sys

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / "lib"))

import harness  # noqa: E402

NODES = 3
DOMAINS = 2
ENGINES_PER_DOMAIN = 4
CLIENTS = 12
DURATION_S = 40.0
EVENTS = 34
# Two events leave the engine together, as after a pass of several steps.
EVENTS_PER_CHUNK = 2
EVENT_S = 0.02
# Inside the largest doses of the site's `garble`: 0.6 of the engines, 0.05 of their answers.
GARBLED_ENGINES_SHARE = 0.5
GARBLED_SHARE = 0.05

random_state = random.Random(7)


def make_event(number, request_id):
    """Return an event of the stream of a request."""
    return f"id: {number}\ndata: {request_id} {'t' * 40}\n\n".encode()


async def run(site, has_trouble):
    """Return whether a client got a stream in which a piece is missing or comes twice."""
    spoilt = set()

    async def answer(engine, request_id, request, writer):
        first = int(request[2].get("last-event-id", "0")) + 1
        model_engines = [item for item in site.engines if isinstance(item, harness.ModelEngine)]
        count = round(GARBLED_ENGINES_SHARE * len(model_engines))
        is_garbling = has_trouble and engine in random.Random(1).sample(model_engines, count)
        spoilt_number = None
        if is_garbling and random_state.random() < GARBLED_SHARE:
            spoilt_number = random_state.randint(first + 1, EVENTS)
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        number = first
        while number <= EVENTS:
            await asyncio.sleep(EVENT_S * EVENTS_PER_CHUNK)
            data = b""
            for _ in range(EVENTS_PER_CHUNK):
                if number > EVENTS:
                    break
                event = make_event(number, request_id)
                if number == spoilt_number:
                    # One wrong byte, in the number of the event.
                    event = event[:4] + b"\x1a" + event[5:]
                    spoilt.add(request_id)
                    site.record.write(f"spoil event {number} of {request_id} at {engine.engine_id}")
                data += event
                number += 1
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    await site.start(0, answer)
    await site.add_model_engines(DOMAINS, ENGINES_PER_DOMAIN, answer)
    for index in range(NODES):
        site.start_node(f"front-{index}")
    await site.wait_ready()
    await site.wait_open(3)
    counts = {"sent": 0, "in order": 0, "out of order": 0, "broken off": 0, "other": 0}
    end = asyncio.get_running_loop().time() + DURATION_S

    async def client(index):
        number = 0
        while asyncio.get_running_loop().time() < end:
            number += 1
            request_id = f"{index:04x}{number:012x}"
            port = site.port(f"front-{(index + number) % NODES}")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            headers = [
                ("X-Model", harness.MODEL),
                ("X-Token-Counts", "714,175"),
                ("X-Prompt-Prefix", f"5c1e07a2:40,{request_id}:674"),
            ]
            writer.write(
                harness.request_bytes("POST", "/grit/1", request_id, b"x" * 710, 6000, headers)
            )
            counts["sent"] += 1
            site.record.write(f"send {request_id}")
            response = await asyncio.wait_for(harness.read_response(reader), 9)
            writer.close()
            outcome, numbers = judge(request_id, response)
            counts[outcome] += 1
            status = None if response is None else response[0]
            site.record.write(f"answer {request_id}: {status}, {outcome}, events {numbers}")
            await asyncio.sleep(0.05)

    await asyncio.gather(*(client(index) for index in range(CLIENTS)))
    print(f"{counts}, streams that an engine spoilt: {len(spoilt)}")
    site.record.write(f"{counts}, spoilt by engines: {len(spoilt)}")
    return counts["out of order"] > 0


def judge(request_id, response):
    """Classify a stream by the numbers of its whole events."""
    if response is None or response[0] != 200:
        return "other", []
    if not response[3]:
        return "broken off", []
    numbers = []
    for number in range(1, EVENTS + 1):
        position = response[2].find(make_event(number, request_id))
        if position >= 0:
            numbers.append((position, number))
    ordered = [number for _, number in sorted(numbers)]
    is_whole = response[2] == b"".join(make_event(n, request_id) for n in range(1, EVENTS + 1))
    return ("in order" if is_whole else "out of order"), ordered


harness.main(run, DIRECTORY)
