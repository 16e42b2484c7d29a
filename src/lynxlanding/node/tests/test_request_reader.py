import io
import random

import pytest

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import strict_parser
from lynxlanding.node import node_view, request_reader
from lynxlanding.platform import configuration_codec, request_headers
from lynxlanding.platform.tests import test_codecs


def read(target="/a/x?y=1", host="a.example", key="k1", body=b"", view=None, **headers):
    raw = [("Host", host), ("X-Request-Id", "q"), ("X-Deadline-Ms", "500")]
    if key is not None:
        raw.append(("Authorization", f"Bearer {key}"))
    raw.extend(headers.items())
    environ = {
        "REQUEST_URI": target,
        "REQUEST_METHOD": "POST",
        "HTTP_HOST": host,
        "wsgi.input": io.BytesIO(body),
        "waitress.client_disconnected": lambda: False,
        strict_parser.RAW_HEADERS: raw,
    }
    if view is None:
        view = node_view.NodeView()
        view.use_configuration(configuration_codec.decode(test_codecs.document()))
    reader = request_reader.RequestReader(view, request_headers, random.Random(1))
    return reader.read(environ, request_headers.decode_request(raw), 100.0)


def test_reads_a_request():
    request = read()
    assert request.route.name == "r1"
    assert request.workspace == "w"
    assert request.urgency == 3
    assert request.deadline == 100.5
    assert request.target == "/a/x?y=1"


def test_the_split_of_a_route_is_kept():
    services = [read().service for _ in range(3)]
    assert set(services) <= {"s", "t"}
    view = node_view.NodeView()
    view.use_configuration(configuration_codec.decode(test_codecs.document()))
    reader = request_reader.RequestReader(view, request_headers, random.Random(1))
    route = view.configuration.find_route("a.example", "/a/x")
    drawn = [reader._draw_service(route) for _ in range(2000)]
    assert 0.06 < drawn.count("t") / len(drawn) < 0.14


@pytest.mark.parametrize(
    ("arguments", "error"),
    [
        ({"target": "/nowhere/x"}, request_errors.NotFound),
        ({"host": "other"}, request_errors.NotFound),
        ({"key": "other"}, request_errors.Unauthorized),
        ({"key": None}, request_errors.Unauthorized),
        ({"target": "*"}, request_errors.InvalidRequest),
        ({"target": "/a/\xe9"}, request_errors.InvalidRequest),
        ({"body": b"x" * 101}, request_errors.BodyTooLarge),
        ({"view": node_view.NodeView()}, request_errors.NoConfiguration),
    ],
)
def test_refusals_have_a_type_and_ran_nothing(arguments, error):
    """Guards against a 404 from a node that has not read a configuration yet, among others."""
    with pytest.raises(error) as caught:
        read(**arguments)
    assert caught.value.executed == "no"


def test_the_port_of_the_host_does_not_matter():
    assert read(host="A.Example:8080").route.name == "r1"
