"""Small helpers for raw ASGI applications."""

import json


async def read_body(receive):
    """Return the whole request body."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def send_json(send, status, document, headers=()):
    """Send a JSON response."""
    await send_body(send, status, json.dumps(document).encode(), headers)


async def send_body(send, status, body, headers=()):
    """Send a response with a JSON body that is encoded already."""
    all_headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": body})


def header(scope, name):
    """Return a request header as text, or None."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return None
