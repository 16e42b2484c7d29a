import io
import random

import pytest

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import strict_parser
from lynxlanding.node import node_status, request_reader
from lynxlanding.platform import configuration_codec, request_headers
from lynxlanding.platform.tests import test_codecs


def read(target="/a/x?y=1", host="a.example", key="k1", body=b"", status=None, **headers):
    raw_headers = [("Host", host), ("X-Request-Id", "q"), ("X-Deadline-Ms", "500")]
    if key is not None:
        raw_headers.append(("Authorization", f"Bearer {key}"))
    raw_headers.extend(headers.items())
    environ = {
        "REQUEST_URI": target,
        "REQUEST_METHOD": "POST",
        "HTTP_HOST": host,
        "wsgi.input": io.BytesIO(body),
        "waitress.client_disconnected": lambda: False,
        strict_parser.RAW_HEADERS_KEY: raw_headers,
    }
    if status is None:
        status = node_status.NodeStatus()
        status.use_configuration(configuration_codec.decode(test_codecs.configuration_document()))
    reader = request_reader.RequestReader(status, request_headers, random.Random(1))
    return reader.read(environ, request_headers.decode_request(raw_headers), 100.0)


def test_request_is_read():
    request = read()
    assert request.route.name == "r1"
    assert request.workspace == "w"
    assert request.urgency == 3
    assert request.deadline == 100.5
    assert request.target == "/a/x?y=1"


def test_service_is_selected_in_proportion_to_the_weights():
    services = [read().service for _ in range(3)]
    assert set(services) <= {"s", "t"}
    status = node_status.NodeStatus()
    status.use_configuration(configuration_codec.decode(test_codecs.configuration_document()))
    reader = request_reader.RequestReader(status, request_headers, random.Random(1))
    route = status.configuration.find_route("a.example", "/a/x")
    selected = [reader._select_service(route) for _ in range(2000)]
    assert 0.06 < selected.count("t") / len(selected) < 0.14


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
        ({"status": node_status.NodeStatus()}, request_errors.NoConfiguration),
    ],
)
def test_refused_requests_have_a_type_and_are_not_executed(arguments, error):
    """For example, a node without a configuration must not respond with 404."""
    with pytest.raises(error) as caught:
        read(**arguments)
    assert caught.value.executed == "no"


def test_port_and_case_of_the_host_are_ignored():
    assert read(host="A.Example:8080").route.name == "r1"
