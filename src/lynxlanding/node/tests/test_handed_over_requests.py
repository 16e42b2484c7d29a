"""Requests that another node hands over, which arrive like those of callers."""

import dataclasses

import pytest

from lynxlanding.dispatch import request_logger
from lynxlanding.errors import request as request_errors
from lynxlanding.handover import handed_over_request, reachability
from lynxlanding.handover.tests import test_peer_forwarder
from lynxlanding.node import node_status, proxy_app

MARK = (handed_over_request.HANDED_OVER_BY.lower(), "n7")


def make_app(is_cut=False):
    state = reachability.Reachability(0.0)
    state.record_check(0 if is_cut else 1, 4, 1.0)
    logger = request_logger.RequestLogger(node_status.NodeStatus())
    return proxy_app.ProxyApp(
        None, None, None, None, None, None, None, None, None, state, None, logger, None
    )


def make_request(headers):
    return dataclasses.replace(test_peer_forwarder.make_request(), headers=headers)


def test_mark_of_the_sending_node_does_not_reach_endpoints():
    request, sender = make_app()._accept_handed_over(make_request([("Host", "h"), MARK]))
    assert sender == "n7"
    assert request.headers == [("Host", "h")]


def test_request_of_a_caller_stays_as_it_is():
    sent = make_request([("Host", "h")])
    assert make_app()._accept_handed_over(sent) == (sent, None)


def test_node_that_is_cut_as_well_refuses_at_once():
    """Guards against a second hop, and against waiting for endpoints that cannot be reached."""
    with pytest.raises(request_errors.NoEndpoint) as refusal:
        make_app(is_cut=True)._accept_handed_over(make_request([MARK]))
    assert (refusal.value.status, refusal.value.executed) == (503, "no")
