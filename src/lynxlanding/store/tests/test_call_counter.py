import eliot

from lynxlanding.store import call_counter


def collect_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(eliot, "log_message", lambda **fields: lines.append(fields))
    return lines


def test_lines_are_bounded_and_state_what_the_calls_cost(monkeypatch):
    """Guards against a count that floods the log while the store is down, or misstates the cost."""
    lines = collect_lines(monkeypatch)
    counter = call_counter.CallCounter()
    for step in range(100):
        counter.record("servers", "watch", "ok", "watch servers")
        counter.record("nodes", "stale_list", "store_unavailable", "directory")
        counter.log_if_due(step * 0.1)
    counter.log()
    counter.log()
    assert len(lines) == 3
    assert lines[-1]["total"] == 200
    assert lines[-1]["charged"] == 110.0
    assert lines[-1]["calls"] == {
        "servers watch ok": 100,
        "nodes stale_list store_unavailable": 100,
    }
    assert lines[-1]["callers"] == {"watch servers": 100, "directory": 100}


def test_combinations_are_bounded(monkeypatch):
    """Guards against a line and a number of time series that grow without limit."""
    counter = call_counter.CallCounter()
    for number in range(call_counter.MAX_COMBINATIONS + 50):
        counter.record(f"k{number}", "get", "ok", "groups")
    assert len(counter.counts()) == call_counter.MAX_COMBINATIONS + 1
    assert counter.total == call_counter.MAX_COMBINATIONS + 50
