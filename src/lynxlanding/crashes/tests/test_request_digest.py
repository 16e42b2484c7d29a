from lynxlanding.crashes import request_digest

REQUEST = ("POST", "/p/x?q=1", "w", b"body")


def test_request_that_comes_again_has_the_same_key_at_all_nodes():
    """Guards against keys that depend on the process, which nodes could not compare."""
    assert request_digest.compute_key(*REQUEST) == request_digest.from_digest(0xA12897646CA729CD)
    assert request_digest.is_request(request_digest.compute_key(*REQUEST))


def test_method_path_caller_and_body_tell_requests_apart():
    """Guards against a refusal of sound requests for one of another caller, path or body."""
    keys = {
        request_digest.compute_key(*REQUEST),
        request_digest.compute_key("GET", *REQUEST[1:]),
        request_digest.compute_key("POST", "/p/x?q=2", "w", b"body"),
        request_digest.compute_key("POST", "/p/x?q=1", "v", b"body"),
        request_digest.compute_key("POST", "/p/x?q=1", None, b"body"),
        request_digest.compute_key("POST", "/p/x?q=1", "w", b"other"),
        request_digest.compute_key("POST", "/p/x?q=1w", "", b"body"),
        request_digest.compute_key("POST", "/p/x?q=1", "", b"wbody"),
    }
    assert len(keys) == 8


def test_keys_of_parts_are_no_requests():
    parts, requests = request_digest.split([5, request_digest.from_digest(5), (1 << 64) - 1])
    assert parts == [5, (1 << 64) - 1]
    assert requests == [request_digest.from_digest(5)]
    assert request_digest.to_digest(requests[0]) == 5
