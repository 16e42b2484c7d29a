"""Store calls of keyed requests, and the rate that the store's write rate permits."""

import pathlib
import tempfile
import threading
import time

import numpy as np
import urllib3

from lynxlanding.errors import platform as platform_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import (
    claim_events,
    claim_manager,
    claim_record,
    node_identity,
    recorded_response,
)
from lynxlanding.store import http_store, memory_store
from lynxlanding_bench import processes

RESPONSE = recorded_response.make_recorded_response(
    200, [("content-type", "application/json")], b"{}" * 200
)
UNLIMITED = 1e9
DAY_S = 24 * 3600.0
WRITES_PER_REQUEST = 3


class _NoLookup:
    def ask(self, owner, token, wait_s):
        del owner, token, wait_s
        return claim_events.OwnerAnswered(claim_events.DEAD)


def _make_manager(store, node_id, seed):
    identity = node_identity.NodeIdentity(node_id, "1", "127.0.0.1:1")
    return claim_manager.ClaimManager(
        store, identity, _NoLookup(), UNLIMITED, np.random.default_rng(seed)
    )


def _run(manager, key):
    """Run a keyed request; return whether it was sent."""
    claimed = manager.begin("north", key, "f", time.monotonic() + 30)
    if isinstance(claimed, recorded_response.RecordedResponse):
        return False
    claimed.may_send()
    claimed.complete(RESPONSE)
    return True


def count_calls(seed):
    """Return the store calls of one keyed request by case, on the in-memory store."""
    rows = []
    for case in ("first", "first, store answer lost", "repeat elsewhere", "repeat, same node"):
        store = memory_store.MemoryObjectStore()
        managers = [_make_manager(store, name, seed) for name in ("n1", "n2")]
        if case.startswith("repeat"):
            _run(managers[0], "k")
            managers[0].wait_until_written(5.0)
            store.call_counts.clear()
        if case.endswith("lost"):
            store.responses_to_lose = 1
        _run(managers[case == "repeat elsewhere"], "k")
        for manager in managers:
            manager.wait_until_written(5.0)
        if case == "first":
            # The claim expires, and a later claim shows that.
            later = claim_record.ClaimRecord(
                "f", managers[0].identity, "t", claim_record.DONE, time.time() + 2 * DAY_S, RESPONSE
            )
            store.create("claims", claim_record.make_object_name("north", "later"), later.encode())
            store.call_counts["create"] -= 1
            managers[0].delete_expired(time.time() + 2 * DAY_S)
            store.call_counts.pop("list")
        calls = {
            name: store.call_counts.get(name, 0) for name in ("create", "get", "update", "delete")
        }
        rows.append({"case": case, **calls, "total": sum(calls.values())})
        for manager in managers:
            manager.stop()
    return rows


def find_limit(rates, duration_s, writes_per_s, seed):
    """Return one row for each offered rate, against the object API stand-in."""
    rows = []
    with (
        tempfile.TemporaryDirectory(prefix="lynxlanding-claims-") as directory,
        processes.Processes(pathlib.Path(directory)) as running,
    ):
        port = processes.free_ports(1)[0]
        running.start_standin(
            "object-api", "object-api", "--port", port, "--writes-per-s", writes_per_s
        )
        url = f"http://{processes.HOST}:{port}"
        processes.wait_for(url + "/stats")
        store = http_store.HttpObjectStore(url, urllib3.PoolManager(maxsize=64))
        for rate in rates:
            rows.append(_offer(store, rate, duration_s, seed))
            # The stand-in's limit recovers before the next rate.
            time.sleep(2.0)
    return rows


def _offer(store, rate, duration_s, seed):
    manager = _make_manager(store, f"n{rate}", seed)
    times = []
    refused = []

    def request(key):
        started_at = time.monotonic()
        try:
            _run(manager, key)
        except request_errors.RequestError:
            refused.append(key)
            return
        times.append(time.monotonic() - started_at)
        # In steady state one claim expires for each one that is made.
        name = claim_record.make_object_name("north", key)
        threading.Timer(1.0, _delete, [store, name]).start()

    threads = []
    started_at = time.monotonic()
    for index in range(int(rate * duration_s)):
        time.sleep(max(0.0, started_at + index / rate - time.monotonic()))
        thread = threading.Thread(target=request, args=[f"{rate}-{index}"])
        thread.start()
        threads.append(thread)
    offered_s = time.monotonic() - started_at
    for thread in threads:
        thread.join()
    unwritten = manager.unwritten_outcomes
    manager.wait_until_written(10.0)
    manager.stop()
    return {
        "offered_per_s": len(threads) / offered_s,
        "offered_writes_per_s": len(threads) / offered_s * WRITES_PER_REQUEST,
        "refused_share": len(refused) / len(threads),
        "claim_p50_ms": float(np.percentile(times, 50) * 1e3),
        "claim_p99_ms": float(np.percentile(times, 99) * 1e3),
        "unwritten_at_end": unwritten,
    }


def _delete(store, name):
    try:
        store.delete("claims", name, store.get("claims", name).version)
    except platform_errors.PlatformError:
        pass
