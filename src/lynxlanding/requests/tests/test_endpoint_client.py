import time

import urllib3

from lynxlanding.requests import attempt_monitor, endpoint_client
from lynxlanding.transport.tests import endless_server


class MonitorWithoutThread(attempt_monitor.AttemptMonitor):
    """Lets the test look at the attempts."""

    @property
    def attempts(self):
        return self._attempts


def test_response_that_is_not_read_is_no_longer_monitored():
    """Guards against a refused response that is monitored until its deadline."""

    def respond(connection):
        connection.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbody")
        connection.recv(65536)

    monitor = MonitorWithoutThread()
    client = endpoint_client.EndpointClient(urllib3.PoolManager(), monitor)
    with endless_server.EndlessServer(respond) as server:
        response = client.send(
            f"127.0.0.1:{server.port}",
            "GET",
            "/x",
            {},
            None,
            time.monotonic() + 20.0,
            5.0,
            fresh_connection=False,
        )
        assert response.status == 503
        assert len(monitor.attempts) == 1
        response.chunks.close()
    assert monitor.attempts == set()
