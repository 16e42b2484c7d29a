"""Fixtures of all tests."""

import eliot
import pytest


@pytest.fixture
def log_messages():
    """Messages that the code under test logs."""
    messages = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)
