"""Demonstration: several daemons, one of them killed while it serves."""

import collections
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

import click
import urllib3

from lynxlanding_bench import caller, fleet, processes

STREAMS = 50
TOKENS = 80
DAEMONS = 3
KILLED = 0
QUESTIONS = (
    "count endpoints group by model, service, state",
    "show group, state, stranded_accelerators of stranded",
    "show address, leaving_because of leaving",
    "show node, place, state, revision of nodes",
)


def main():
    """Run the demonstration and exit with 0 if every promise held."""
    with (
        tempfile.TemporaryDirectory(prefix="lynxlanding-demo-") as directory,
        processes.Processes(pathlib.Path(directory)) as running,
    ):
        try:
            failures = _run(running)
        except TimeoutError as e:
            failures = [str(e)]
            for log in sorted(pathlib.Path(directory).glob("*.log")):
                click.echo(f"--- {log.name}\n{log.read_text()[-2000:]}")
    for failure in failures:
        click.echo(f"FAILED: {failure}")
    click.echo("demo: " + ("failed" if failures else "all checks passed"))
    sys.exit(1 if failures else 0)


def _run(running):
    installation = fleet.Fleet(running, daemons=DAEMONS)
    click.echo(f"starting stand-ins and {DAEMONS} daemons as separate processes ...")
    installation.start()
    pool = urllib3.PoolManager(maxsize=STREAMS)
    callers = []
    for index in range(DAEMONS):
        callers.append(caller.Caller(installation.daemon_url(index), "desk-secret", pool))

    click.echo(f"{STREAMS} streams of {TOKENS} tokens; daemon node-{KILLED} is killed meanwhile")
    outcomes = [None] * STREAMS
    threads = []
    for index in range(STREAMS):
        thread = threading.Thread(target=_stream, args=(callers, outcomes, index))
        thread.start()
        threads.append(thread)
    time.sleep(0.8)
    running.kill(f"node-{KILLED}")
    for thread in threads:
        thread.join()

    failures = []
    for node in range(DAEMONS):
        results = collections.Counter(outcomes[i].result for i in range(node, STREAMS, DAEMONS))
        click.echo(f"  node-{node}: {dict(results)}")
        expected = {caller.BROKEN} if node == KILLED else {caller.WHOLE}
        if set(results) != expected:
            failures.append(f"streams of node-{node}: {dict(results)}")

    status, executed, _, document = callers[1].call_service("job-17", key="job-17")
    click.echo(f"booking job-17 at node-1: {status} {document}")
    again, _, headers, repeated = callers[2].call_service("job-17", key="job-17")
    click.echo(f"repeat at node-2: {again} {repeated} replayed={headers.get('X-Replayed')}")
    runs = pool.request("GET", installation.service_url + "/runs").json()
    click.echo(f"runs at the service: {runs}")
    if status != 200:
        failures.append(f"booking: status {status}, executed {executed}")
    for question in QUESTIONS:
        click.echo(f'$ lynxctl query "{question}"')
        answer = _ask(installation.peer_url(1), question)
        click.echo(answer.stdout + answer.stderr)
        if answer.returncode != 0:
            failures.append(f"lynxctl query {question!r} ended with {answer.returncode}")
    if any(count > 1 for count in runs.values()):
        failures.append(f"a non-idempotent call ran twice: {runs}")
    return failures


def _ask(node, question):
    return subprocess.run(
        [sys.executable, "-m", "lynxlanding.operators.lynxctl", "--node", node, "query", question],
        capture_output=True,
        text=True,
        check=False,
    )


def _stream(callers, outcomes, index):
    outcomes[index] = callers[index % len(callers)].stream(f"quote {index}", TOKENS)


if __name__ == "__main__":
    main()
