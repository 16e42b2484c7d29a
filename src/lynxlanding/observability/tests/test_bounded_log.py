import json
import os
import time

from lynxlanding.observability import bounded_log


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [json.loads(line) for line in data.splitlines()]


def test_excess_lines_are_dropped_and_counted():
    """Guards against a log volume that grows with the load."""
    reader, writer = os.pipe()
    clock = FakeClock()
    log = bounded_log.BoundedLog(writer, clock)
    os.set_blocking(writer, False)
    for number in range(5000):
        log({"message_type": "m", "number": number})
    log.flush(1.0)
    lines = read_lines(reader)
    assert len(lines) == bounded_log.MAX_LINES_PER_S + 1
    assert lines[-1]["message_type"] == bounded_log.LINES_DROPPED
    assert lines[-1]["lines"] == 5000 - bounded_log.MAX_LINES_PER_S
    assert log.dropped_total == 5000 - bounded_log.MAX_LINES_PER_S
    clock.now += 0.5
    log({"message_type": "later"})
    log.flush(1.0)
    assert read_lines(reader)[0]["message_type"] == "later"
    os.close(reader)
    os.close(writer)


def test_stalled_reader_does_not_block_callers():
    """Guards against requests that block on a full log pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    clock = FakeClock()
    log = bounded_log.BoundedLog(writer, clock)
    started_at = time.monotonic()
    for _ in range(20):
        clock.now += 1.0
        for _ in range(bounded_log.MAX_LINES_PER_S):
            log({"message_type": "m", "text": "x" * 1000})
        log._write_batch()
    assert time.monotonic() - started_at < 2.0
    assert log.dropped_total > 0
    os.close(reader)
    os.close(writer)


def test_closed_pipe_raises_no_error():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = bounded_log.BoundedLog(writer)
    os.close(reader)
    log({"message_type": "m"})
    log.flush(0.2)
    os.close(writer)
