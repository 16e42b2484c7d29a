"""Gives each caller of the store the endpoints' addresses at a host of its own."""

from lynxlanding_standins import port_server


class AddressRewriter:
    """``send`` of an ASGI call that rewrites addresses of endpoints in the response.

    Parameters
    ----------
    send : callable
        The call's own.
    host : str
        Host at which the caller has reached the store.
    ports : iterable of int
        Ports of the endpoints.
    """

    def __init__(self, send, host, ports):
        self._send = send
        self._host = host
        self._ports = ports
        self._start = None

    async def __call__(self, message):
        """Send a message; the first one waits for the body, whose length it states."""
        if self._host == port_server.HOST:
            await self._send(message)
            return
        if message["type"] == "http.response.start":
            self._start = message
            return
        body = message.get("body", b"")
        for port in self._ports:
            body = body.replace(
                f'"{port_server.HOST}:{port}"'.encode(), f'"{self._host}:{port}"'.encode()
            )
        if self._start is not None:
            headers = []
            for name, value in self._start["headers"]:
                is_length = name.lower() == b"content-length"
                headers.append((name, str(len(body)).encode() if is_length else value))
            await self._send({**self._start, "headers": headers})
            self._start = None
        await self._send({**message, "body": body})
