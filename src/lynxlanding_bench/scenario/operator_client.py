"""Operators of a scenario, recorded for the checker."""

import re
import time

import numpy
import urllib3

from lynxlanding.configuration import change_ids, commit
from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators import admin_client
from lynxlanding.operators.language import commands, parsing

ACCEPTED = "accepted"
CONFLICT = "conflict"
REFUSED = "refused"
UNKNOWN = "unknown"
# Design figures for the last new request to a leaving endpoint.
LEAVING_BOUND_S = 2.0
LEAVING_BOUND_STORE_FAULT_S = 5.0
_PLACEHOLDER = re.compile(r"\{(engine|service) ?(\d*)\}")


class OperatorClient:
    """Submits commands through the admin API of a node.

    Parameters
    ----------
    name : str
        Name of the operator.
    installation : Fleet
        Gives the addresses.
    recorder : Recorder
        Receives the accepted changes.
    """

    def __init__(self, name, installation, recorder):
        self._name = name
        self._installation = installation
        self._recorder = recorder

    def apply(self, text, node, *, store_is_faulty):
        """Submit commands and return outcome and explanation.

        In the text, ``{engine 0}`` and ``{service}`` stand for addresses.
        """
        text = _PLACEHOLDER.sub(self._address, text)
        client = admin_client.AdminClient(
            [self._installation.peer_url(node)], urllib3.PoolManager()
        )
        change_id = change_ids.generate(time.time(), numpy.random.default_rng())
        document = {"text": text, "author": self._name, "change_id": change_id}
        try:
            status, answer = client.apply(document)
        except operator_errors.ChangeOutcomeUnknown as e:
            self._recorder.record("submitted", change_id=change_id, text=text)
            return UNKNOWN, str(e)
        except operator_errors.NodeUnreachable as e:
            return REFUSED, str(e)
        if status == 200:
            revision = answer["revision"]
            # A change without a difference creates no revision and is not in the history.
            event = "unchanged" if answer["outcome"] == commit.NO_DIFFERENCE else "accepted"
            self._recorder.record(event, change_id=change_id, revision=revision, text=text)
            self._record_drains(text, store_is_faulty)
            return ACCEPTED, f"revision {revision}"
        outcome = CONFLICT if status == 409 else REFUSED
        self._recorder.record(f"change_{outcome}", change_id=change_id, text=text)
        return outcome, answer.get("error", {}).get("message", f"status {status}")

    def _record_drains(self, text, store_is_faulty):
        bound_s = LEAVING_BOUND_STORE_FAULT_S if store_is_faulty else LEAVING_BOUND_S
        for command in parsing.parse_commands(text):
            if isinstance(command, commands.DrainEndpoint):
                address = command.address.value
                self._recorder.record("leaving", endpoint=address, bound_s=bound_s)
            if isinstance(command, commands.UndrainEndpoint):
                self._recorder.record("staying", endpoint=command.address.value)

    def _address(self, match):
        if match[1] == "service":
            return self._installation.service_url.removeprefix("http://")
        return f"127.0.0.1:{self._installation.engine_ports[int(match[2])]}"
