import pytest

from lynxlanding.transport import address


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("10.0.0.1:8080", True),
        ("127.0.0.1:1", True),
        ("127.0.0.1:65535", True),
        ("127.0.0.1:65536", False),
        ("127.0.0.1:99999", False),
        ("127.0.0.1:0", False),
        ("127.0.0.1:\u00b2", False),
        ("127.0.0.1:\u0661", False),
        ("127.0.0.1:-1", False),
        ("127.0.0.1:", False),
        ("127.0.0.1", False),
        (":8080", False),
        ("host:8080", False),
        ("127.0.0.1\r\nX: y:8080", False),
    ],
)
def test_only_ip_addresses_with_a_port_are_valid(text, expected):
    """Guards against addresses that no connection can be made to, or that raise an error."""
    assert address.is_valid(text) is expected
