"""All nodes restart at the same time, and callers connect before the nodes have started."""

import socket
import threading

import pytest

from lynxlanding.gateway import http_server
from lynxlanding.node import early_listener, node_status
from lynxlanding.settings import vm_settings


def find_free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def write_settings(path, address):
    path.write_text(f"listen:\n  callers: {address}\n", encoding="utf-8")
    return str(path)


def app(environ, start_response):
    del environ
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def test_request_sent_before_the_server_exists_is_answered(tmp_path):
    port = find_free_port()
    listener = early_listener.listen(write_settings(tmp_path / "node.yaml", f"127.0.0.1:{port}"))
    caller = socket.create_connection(("127.0.0.1", port), timeout=5.0)
    caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    limits = vm_settings.ServerLimits(2)
    server = http_server.create(app, "127.0.0.1", port, limits, listener)
    threading.Thread(target=server.run, daemon=True).start()
    received = b""
    while chunk := caller.recv(4096):
        received += chunk
    assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"ok")
    server.close()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[",
        "listen: {}",
        "listen: 3",
        "listen: {callers: 7}",
        "listen: {callers: '127.0.0.1:x'}",
    ],
)
def test_invalid_settings_yield_no_listener(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_text(text, encoding="utf-8")
    assert early_listener.listen(str(path)) is None


def test_missing_file_or_used_address_yields_no_listener(tmp_path):
    assert early_listener.listen(None) is None
    assert early_listener.listen(str(tmp_path / "absent")) is None
    with socket.socket() as other_listener:
        other_listener.bind(("127.0.0.1", 0))
        other_listener.listen()
        address = f"127.0.0.1:{other_listener.getsockname()[1]}"
        assert early_listener.listen(write_settings(tmp_path / "node.yaml", address)) is None


def test_requests_wait_for_the_initial_sync():
    status = node_status.NodeStatus()
    released = threading.Event()

    def wait():
        status.wait_for_initial_sync()
        released.set()

    threading.Thread(target=wait, daemon=True).start()
    assert not released.wait(0.05)
    status.confirm_registry(1.0)
    assert not released.wait(0.05)
    status.use_configuration(_Configuration(3))
    assert released.wait(node_status.INITIAL_SYNC_TIMEOUT_S)


def test_requests_do_not_wait_after_the_initial_sync_timeout(monkeypatch):
    """Requests must not be delayed while the store is unavailable for longer."""
    status = node_status.NodeStatus()
    later = node_status.time.monotonic() + node_status.INITIAL_SYNC_TIMEOUT_S
    monkeypatch.setattr(node_status.time, "monotonic", lambda: later)
    status.wait_for_initial_sync()
    assert status.configuration is None


class _Configuration:
    def __init__(self, version):
        self.version = version
