"""The check that comes right before a request is sent."""

import dataclasses

import pytest

from lynxlanding.dispatch import serving_actor
from lynxlanding.dispatch.tests import dispatch_factories


@pytest.fixture
def serving():
    dispatcher, registry = dispatch_factories.make_dispatcher([])
    reference = serving_actor.ServingActor.start(registry, dispatcher)
    yield reference.proxy()
    reference.stop()


def test_only_the_selected_incarnation_may_be_sent_to(serving):
    record = dispatch_factories.make_plain_endpoint(1)
    assert not serving.may_send(record).get()
    serving.apply_list([record], 0.0, False).get()
    assert serving.may_send(record).get()
    restarted = dataclasses.replace(record, started_ms=record.started_ms + 1)
    serving.apply_changes([restarted], [], 1.0, False).get()
    assert not serving.may_send(record).get()
    serving.confirm(restarted.endpoint_id, restarted.started_ms).get()
    assert not serving.may_send(record).get()
    assert serving.may_send(restarted).get()


def test_a_leaving_or_unconfirmed_endpoint_may_not_be_sent_to(serving):
    """Guards against a request whose connection took longer than the news."""
    record = dispatch_factories.make_plain_endpoint(1)
    serving.apply_list([record], 0.0, False).get()
    serving.apply_changes([], [record.endpoint_id], 1.0, False).get()
    serving.apply_changes([record], [], 1.5, False).get()
    assert not serving.may_send(record).get()
    serving.confirm(record.endpoint_id, record.started_ms).get()
    assert serving.may_send(record).get()
    leaving = dataclasses.replace(record, is_leaving=True)
    serving.apply_changes([leaving], [], 2.0, False).get()
    assert not serving.may_send(record).get()
