"""Reuse of connections by a node that calls each of many endpoints only now and then."""

import dataclasses
import socket
import struct
import threading
import time

import pytest
import time_machine
import urllib3

from lynxlanding.dispatch import connection_pool
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.platform import sockets
from lynxlanding.transport import guarded_connection


@pytest.fixture
def record():
    return dispatch_factories.make_head(0)


@pytest.fixture
def idle():
    """A connection whose other end is kept open."""
    near, far = socket.socketpair()
    connection = urllib3.connection.HTTPConnection("127.0.0.1", 1)
    connection.sock = near
    yield connection, far
    connection.close()
    far.close()


def acquire_after(record, connection, idle_s, announced_s):
    """Release a connection and return what is acquired after an idle time, or None."""
    with time_machine.travel(1_700_000_000.0, tick=False) as clock:
        pool = connection_pool.ConnectionPool([])
        pool.release(record, connection, announced_s)
        clock.shift(idle_s)
        pool.close_expired(time.monotonic())
        return pool._acquire_idle(record.endpoint_id)


@pytest.mark.parametrize(
    ("idle_s", "announced_s", "is_reused"),
    [
        (5.0, 10.0, True),
        (9.0, 30.0, False),
        (2.0, 2.0, False),
        (5.0, None, True),
    ],
)
def test_idle_connections_are_reused_as_long_as_the_endpoint_announces(
    record, idle, idle_s, announced_s, is_reused
):
    """Pattern: many heads, each called every few seconds; new connections cost the engines time."""
    connection, _ = idle
    acquired = acquire_after(record, connection, idle_s, announced_s)
    assert (acquired is connection) == is_reused


def test_a_connection_that_its_endpoint_has_closed_is_not_reused(record, idle):
    connection, far = idle
    far.close()
    assert acquire_after(record, connection, 1.0, 10.0) is None


def make_record_at(port):
    return dataclasses.replace(dispatch_factories.make_head(0), address=f"127.0.0.1:{port}")


def test_only_a_refused_connection_shows_that_nothing_listens():
    """Guards against silence of the network that counts as the end of an endpoint."""
    pool = connection_pool.ConnectionPool([])
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        assert pool.is_listening(make_record_at(port))
    assert not pool.is_listening(make_record_at(port))
    with pytest.raises(endpoint_errors.NotListening):
        pool.acquire(make_record_at(port), fresh=True)


@pytest.mark.parametrize("is_reset", [True, False])
def test_address_that_ends_new_connections_at_once_does_not_listen(is_reset):
    """Pattern: a supervisor or an address translation holds the port of an ended endpoint."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def end_next():
            accepted, _ = listener.accept()
            if is_reset:
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()

        thread = threading.Thread(target=end_next)
        thread.start()
        pool = connection_pool.ConnectionPool([])
        assert not pool.is_listening(make_record_at(listener.getsockname()[1]))
        thread.join()


def test_address_that_resets_connections_before_they_are_used_does_not_listen(monkeypatch):
    """Guards against a held port that counts as listening if its reset comes very soon."""

    def connect(connection):
        raise urllib3.exceptions.NewConnectionError(connection, "reset") from ConnectionResetError()

    monkeypatch.setattr(guarded_connection.GuardedConnection, "connect", connect)
    pool = connection_pool.ConnectionPool([])
    assert not pool.is_listening(make_record_at(1))
    with pytest.raises(endpoint_errors.ConnectionRefused) as refusal:
        pool.acquire(make_record_at(1), fresh=True)
    # It may be a sound endpoint that has too many connections, so this alone does not end it.
    assert not isinstance(refusal.value, endpoint_errors.NotListening)


def test_silent_address_counts_as_listening(monkeypatch):
    def connect(connection):
        raise urllib3.exceptions.ConnectTimeoutError(connection, "timed out")

    monkeypatch.setattr(guarded_connection.GuardedConnection, "connect", connect)
    assert connection_pool.ConnectionPool([]).is_listening(make_record_at(1))


def test_no_user_timeout_shortens_the_keep_alive_probes():
    """Guards against a library that sets one: it decides when probes give up, not their number."""
    pool = connection_pool.ConnectionPool(sockets.OPTIONS)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        record = make_record_at(listener.getsockname()[1])
        connection, _ = pool.acquire(record, fresh=True)
        user_timeout_ms = connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        connection.close()
    assert user_timeout_ms == 0
