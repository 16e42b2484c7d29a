"""ASGI server whose ports can be closed and opened again one by one."""

import asyncio
import functools
import socket

import uvicorn

HOST = "127.0.0.1"


class PortServer(uvicorn.Server):
    """Serves one application on several ports.

    Parameters
    ----------
    app : callable
        ASGI application.
    ports : list of int
        Ports on loopback.
    """

    def __init__(self, app, ports):
        config = uvicorn.Config(
            app,
            log_level="error",
            access_log=False,
            lifespan="off",
            loop="uvloop",
            timeout_graceful_shutdown=1,
            backlog=2048,
        )
        super().__init__(config)
        self._ports = ports

    def serve_ports(self):
        """Serve until the process is told to stop."""
        self.run(sockets=[_listen(port) for port in self._ports])

    def reset_connections(self, port):
        """Reset all connections that callers have opened to a port."""
        for connection in list(self.server_state.connections):
            if connection.server is not None and connection.server[1] == port:
                connection.transport.abort()

    def close_port(self, port):
        """Refuse new connections to a port and reset the open ones."""
        self.servers[self._ports.index(port)].close()
        self.reset_connections(port)

    async def open_port(self, port):
        """Accept connections to a port that was closed."""
        factory = functools.partial(
            self.config.http_protocol_class,
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        server = await asyncio.get_running_loop().create_server(
            factory, sock=_listen(port), backlog=self.config.backlog
        )
        self.servers[self._ports.index(port)] = server


def _listen(port):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    return listener
