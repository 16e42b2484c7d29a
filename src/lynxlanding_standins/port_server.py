"""ASGI server whose ports can be closed and opened again one by one."""

import asyncio
import functools
import socket
import struct

import uvicorn

HOST = "127.0.0.1"
# Connections that fill the queue of a socket that listens and accepts none.
QUEUE_FILLERS = 3


class PortServer(uvicorn.Server):
    """Serves one application on several ports.

    Parameters
    ----------
    app : callable
        ASGI application.
    ports : list of int
        Ports on loopback.
    hosts : sequence of str, optional
        Loopback addresses, each with all ports. Callers that use an address each can be cut off
        separately.
    """

    def __init__(self, app, ports, hosts=(HOST,)):
        config = uvicorn.Config(
            app,
            log_level="error",
            access_log=False,
            lifespan="off",
            loop="uvloop",
            timeout_graceful_shutdown=1,
            backlog=2048,
        )
        # Loads the protocol class, which accepts connections to ports that are held.
        config.load()
        super().__init__(config)
        config.http_protocol_class = _make_protocol_class(config.http_protocol_class, self)
        self._addresses = [(host, port) for host in hosts for port in ports]
        self._closed = set()
        self._full_queues = {}
        self._held_ports = {}

    def serve_ports(self):
        """Serve until the process is told to stop."""
        self.run(sockets=[_listen(address) for address in self._addresses])

    def reset_connections(self, port, host=None):
        """Reset all connections that callers have opened to a port, at one host or at all."""
        for connection in list(self.server_state.connections):
            address = connection.server
            if address is None or address[1] != port or host not in (None, address[0]):
                continue
            connection.transport.abort()

    def close_port(self, port, host=None):
        """Refuse new connections to a port, at one host or at all; open ones go on."""
        for address in self._matching(port, host):
            if address not in self._closed:
                self._closed.add(address)
                self.servers[self._addresses.index(address)].close()

    def hold_port(self, port, is_reset):
        """Accept new connections to a port and end them at once, by a reset or by closing them."""
        self._held_ports[port] = is_reset

    def release_port(self, port):
        """Serve new connections to a port that was held."""
        self._held_ports.pop(port, None)

    def end_if_held(self, transport):
        """End a new connection if its port is held; return whether it is."""
        sock = transport.get_extra_info("socket")
        is_reset = self._held_ports.get(sock.getsockname()[1])
        if is_reset is None:
            return False
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()
        return True

    def fill_port(self, port, host):
        """Let new connections to a port hang, as if their packets were lost."""
        self.close_port(port, host)
        listener = _listen((host, port))
        listener.listen(0)
        fillers = [listener]
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((host, port))
            fillers.append(filler)
        self._full_queues[(host, port)] = fillers

    async def open_port(self, port, host=None):
        """Accept connections to a port that was closed or filled, at one host or at all."""
        factory = functools.partial(
            self.config.http_protocol_class,
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        for address in self._matching(port, host):
            if address not in self._closed:
                continue
            for item in self._full_queues.pop(address, ()):
                item.close()
            self._closed.discard(address)
            self.servers[
                self._addresses.index(address)
            ] = await asyncio.get_running_loop().create_server(
                factory, sock=_listen(address), backlog=self.config.backlog
            )

    def _matching(self, port, host):
        return [item for item in self._addresses if item[1] == port and host in (None, item[0])]


def _make_protocol_class(base, server):
    class HeldPortProtocol(base):
        """Ends connections to held ports before it reads from them."""

        def connection_made(self, transport):
            """Serve a connection unless its port is held."""
            self._is_held = server.end_if_held(transport)
            if not self._is_held:
                super().connection_made(transport)

        def connection_lost(self, exc):
            """Forget a connection that was served."""
            if not self._is_held:
                super().connection_lost(exc)

    return HeldPortProtocol


def _listen(address):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    return listener
