"""Queries and changes by lynxctl against daemons in separate processes."""

import json
import os
import subprocess
import sys

import pytest

from lynxlanding.operators import exit_codes
from lynxlanding_bench import fleet

pytestmark = pytest.mark.multiprocess

ENVIRONMENT = {**os.environ, "OPENBLAS_NUM_THREADS": "1"}


@pytest.fixture
def lynxctl(installation, tmp_path):
    """Run lynxctl against one daemon; returns exit code, output and error output."""

    def run(*arguments, node=0, text=None):
        command = [sys.executable, "-m", "lynxlanding.operators.lynxctl"]
        command += ["--node", installation.peer_url(node), "--output", "json", *arguments]
        done = subprocess.run(
            command,
            check=False,
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
            env=ENVIRONMENT,
        )
        return done.returncode, done.stdout, done.stderr

    return run


def _rows(output):
    return json.loads(output)["results"][0]["rows"]


def test_change_is_in_effect_on_every_node(lynxctl):
    """Guards against a change that only the node of the operator knows (G8)."""
    text = f"create group desk-group with model = {fleet.MODEL}, replicas = 0"
    code, output, errors = lynxctl("apply", "-", "--watch", "--author", "asha", text=text)
    assert code == exit_codes.OK, errors
    assert "in effect on every live node" in output
    code, output, _ = lynxctl("query", "show model, replicas of models", node=1)
    assert _rows(output) == [[fleet.MODEL, 0]]
    code, output, _ = lynxctl("query", "show node, state of nodes order by node", node=1)
    assert _rows(output) == [["node-0", "live"], ["node-1", "live"]]
    code, output, _ = lynxctl("history", "--limit", "1", node=1)
    change = json.loads(output)["changes"][0]
    assert (change["author"], change["statements"]) == ("asha", text)


def test_drain_and_undrain(lynxctl, installation):
    address = f"127.0.0.1:{installation.engine_ports[0]}"
    text = f'drain endpoint {address} because "rack work"'
    assert lynxctl("apply", "-", "--watch", text=text)[0] == exit_codes.OK
    _, output, _ = lynxctl("query", "show address, leaving_because of leaving", node=1)
    assert _rows(output) == [[address, "drain_object"]]
    text = f"undrain endpoint {address}"
    assert lynxctl("apply", "-", "--watch", text=text)[0] == exit_codes.OK
    _, output, _ = lynxctl("query", "count leaving", node=1)
    assert _rows(output) == [[0]]


def test_invalid_change_and_dry_run_change_nothing(lynxctl):
    """Guards against a half accepted file."""
    text = "create group other with model = desk-model, replicas = 0;\nscale group missing to 1"
    code, _, errors = lynxctl("apply", "-", text=text)
    assert code == exit_codes.INVALID
    assert "line 2, column 13" in errors
    code, _, errors = lynxctl(
        "apply", "-", text="create group other with model = no-such, replicas = 0"
    )
    assert code == exit_codes.INVALID
    assert "groups/other.model" in errors
    text = "create group other with model = desk-model, replicas = 0"
    code, output, _ = lynxctl("apply", "-", "--dry-run", text=text)
    assert code == exit_codes.OK
    assert json.loads(output)["outcome"] == "dry_run"
    _, output, _ = lynxctl("query", "count models where replicas > 0")
    assert _rows(output) == [[0]]


def test_repeat_with_the_same_id(lynxctl):
    """Guards against a repeat at another node that is accepted a second time."""
    text = "create group repeated with model = desk-model, replicas = 0"
    arguments = ("apply", "-", "--change-id", "change-repeated-1")
    code, output, errors = lynxctl(*arguments, text=text)
    assert code == exit_codes.OK, errors
    first = json.loads(output)
    code, output, errors = lynxctl(*arguments, node=1, text=text)
    assert code == exit_codes.OK, errors
    again = json.loads(output)
    assert (first["outcome"], again["outcome"]) == ("committed", "repeated")
    assert again["revision"] == first["revision"]


def test_burn_report(lynxctl):
    code, output, errors = lynxctl("report", "burn")
    assert code == exit_codes.OK, errors
    assert {node["node"] for node in json.loads(output)["nodes"]} >= {"node-0"}
