"""Runs a scenario with stand-ins and nodes as separate processes."""

import json
import operator
import pathlib
import signal
import threading
import time

import urllib3

from lynxlanding_bench import processes
from lynxlanding_bench.history import checker, reading, recorder
from lynxlanding_bench.scenario import (
    counting,
    installation,
    load,
    observer,
    operator_client,
    outcome,
    steps,
)

LOAD_END_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0
_COMPARISONS = {
    ">=": operator.ge,
    "<=": operator.le,
    "=": operator.eq,
    ">": operator.gt,
    "<": operator.lt,
}
_NAMES = {steps.SERVICE: "service", steps.STORE: "object-api"}
_GROUP_NAMES = {steps.STORE: "store"}


def run(scenario, directory):
    """Run a scenario.

    Parameters
    ----------
    scenario : Scenario
        The parsed scenario.
    directory : pathlib.Path
        Directory for logs, settings and histories.

    Returns
    -------
    ScenarioOutcome
    """
    started_at = time.monotonic()
    with processes.Processes(pathlib.Path(directory)) as running:
        execution = _Execution(scenario, running)
        try:
            execution.run()
        except TimeoutError as e:
            execution.outcome.failures.append(str(e))
        finally:
            execution.finish()
    execution.outcome.duration_s = time.monotonic() - started_at
    return execution.outcome


class _Execution:
    def __init__(self, scenario, running):
        self.outcome = outcome.ScenarioOutcome(scenario.title)
        self._scenario = scenario
        self._running = running
        self._caller_path = running.directory / "callers.jsonl"
        self._recorder = recorder.Recorder(self._caller_path, "scenario")
        self._loads = {}
        self._pool = urllib3.PoolManager()
        self._store_faults = set()
        self._timers = []
        options = scenario.options
        self._names = _GROUP_NAMES if options["vms"] else _NAMES
        self._installation = installation.make(running, options)
        self._observer = observer.Observer(self._installation, self._recorder)
        self._actions = {
            steps.StartFleet: self._start,
            steps.Load: self._load,
            steps.Wait: self._wait,
            steps.WaitForLoad: self._wait_for_load,
            steps.SignalProcess: self._signal,
            steps.SetFaults: self._set_faults,
            steps.Operator: self._operate,
            steps.Together: self._together,
            steps.ExpectRevision: self._expect_revision,
            steps.Expect: self._expect,
            steps.Check: self._check,
        }

    def run(self):
        for step in self._scenario.steps:
            self._actions[type(step)](step)
        for name in self._loads:
            self._wait_for_load(steps.WaitForLoad(name))

    def finish(self):
        for timer in self._timers:
            timer.cancel()
        self._observer.stop()
        self._record_accepted_history()
        history = self._read_history()
        self.outcome.violations = checker.check(history)
        self.outcome.counts = counting.count(history)
        self._recorder.close()

    def _start(self, step):
        self._installation.start()
        self._observer.start()

    def _load(self, step):
        urls = [
            self._installation.daemon_url(index)
            for index in range(len(self._installation.daemon_names))
        ]
        seed = self._scenario.seed + len(self._loads)
        started = load.BackgroundLoad(step, urls, self._recorder, seed)
        self._loads[step.name] = started
        started.start()

    def _wait(self, step):
        time.sleep(step.duration_s)

    def _wait_for_load(self, step):
        if step.name not in self._loads:
            self.outcome.failures.append(f"there is no load {step.name}")
            return
        if not self._loads[step.name].join(LOAD_END_TIMEOUT_S):
            self.outcome.failures.append(f"calls of load {step.name} did not end")

    def _signal(self, step):
        name = self._name_of(step.process)
        target = self._target_of(step.process)
        if step.action in ("kill", "pause") and step.process.kind == steps.VM:
            self._recorder.record("vm_down", vm=name)
        if step.action == "kill":
            self._recorder.record("fault", target=target, kind="kill")
            self._running.kill(name)
        elif step.action == "pause":
            self._recorder.record("fault", target=target, kind="pause")
            self._running.signal(name, signal.SIGSTOP)
            if step.duration_s is not None:
                timer = threading.Timer(step.duration_s, self._resume, (name, target))
                timer.start()
                self._timers.append(timer)
        elif step.action == "resume":
            self._resume(name, target)
        elif step.action == "stop":
            self._recorder.record("planned_stop", target=target)
            self._running.signal(name, signal.SIGTERM)
            self._wait_for_exit(name)
        else:
            self._running.restart(name)
            self._wait_until_ready(step.process)
            self._record_recovered(name, target)

    def _resume(self, name, target):
        self._running.signal(name, signal.SIGCONT)
        self._record_recovered(name, target)

    def _record_recovered(self, name, target):
        self._recorder.record("recovered", target=target)
        if name.startswith("vm-"):
            self._recorder.record("vm_up", vm=name)

    def _wait_for_exit(self, name):
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while self._running.is_running(name):
            if time.monotonic() > deadline:
                self.outcome.failures.append(f"{name} did not end after SIGTERM")
                return
            time.sleep(0.05)

    def _wait_until_ready(self, process):
        if process.kind == steps.NODE:
            processes.wait_for(self._installation.daemon_url(process.index) + "/readyz")
        elif process.kind == steps.STORE:
            processes.wait_for(self._installation.object_api + "/stats")
        else:
            processes.wait_for(self._url_of(process) + "/healthz")

    def _set_faults(self, step):
        body = json.dumps(step.faults).encode()
        target = self._target_of(step.process)
        if step.process.kind == steps.STORE:
            for name, value in step.faults.items():
                (self._store_faults.add if value else self._store_faults.discard)(name)
        # The record comes first, since the fault may act before the control call returns.
        faulty = any(step.faults.values())
        self._recorder.record("fault" if faulty else "recovered", target=target, kind="control")
        headers = {"Content-Type": "application/json"}
        url = self._url_of(step.process) + "/faults"
        self._pool.request("POST", url, body=body, headers=headers, timeout=5.0)

    def _operate(self, step):
        client = operator_client.OperatorClient(step.name, self._installation, self._recorder)
        faulty = bool(self._store_faults)
        result, explanation = client.apply(step.text, step.node, store_is_faulty=faulty)
        if step.expects is not None and result != step.expects:
            self.outcome.failures.append(
                f"operator {step.name} on node {step.node}: expected {step.expects},"
                f" got {result}: {explanation}"
            )

    def _together(self, step):
        threads = []
        for inner in step.steps:
            thread = threading.Thread(target=self._run_step, args=(inner,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _run_step(self, step):
        try:
            self._actions[type(step)](step)
        except TimeoutError as e:
            self.outcome.failures.append(str(e))

    def _expect_revision(self, step):
        deadline = time.monotonic() + step.within_s
        behind = []
        while True:
            behind = self._nodes_behind(step.revision)
            if not behind:
                return
            if time.monotonic() > deadline:
                break
            time.sleep(0.05)
        self.outcome.failures.append(
            f"revision {step.revision} is not in effect after {step.within_s:g} s on {behind}"
        )

    def _nodes_behind(self, revision):
        seen = self._observer.revisions()
        behind = []
        for name in self._installation.daemon_names:
            if self._running.is_running(name) and seen.get(name, 0) < revision:
                behind.append(name)
        return behind

    def _expect(self, step):
        counts = counting.count(self._read_history(), step.load)
        value = counts[step.metric]
        unit = ""
        if step.percent:
            value = 100.0 * value / max(1, counts["calls"])
            unit = " percent"
        if not _COMPARISONS[step.comparison](value, step.limit):
            of = f" of {step.load}" if step.load else ""
            self.outcome.failures.append(
                f"expected {step.metric}{of} {step.comparison} {step.limit:g}{unit},"
                f" got {value:g}{unit}"
            )

    def _check(self, step):
        for found in checker.check(self._read_history()):
            # Calls in flight have no answer yet; only the check at the end judges them.
            if found.kind != "unanswered":
                self.outcome.failures.append(f"{found.kind} {found.subject}: {found.explanation}")

    def _read_history(self):
        paths = [self._caller_path, self._running.directory / "history.jsonl"]
        return reading.read([path for path in paths if path.exists()])

    def _record_accepted_history(self):
        for index, name in enumerate(self._installation.daemon_names):
            try:
                if not self._running.is_running(name):
                    continue
                url = self._installation.peer_url(index) + "/admin/v1/history?limit=1000"
                response = self._pool.request("GET", url, retries=False, timeout=5.0)
                changes = response.json()["changes"]
            except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                continue
            pairs = [(change["revision"], change["change_id"]) for change in changes]
            self._recorder.record("accepted_history", node=name, changes=pairs)
            return

    def _name_of(self, process):
        return self._names.get(process.kind, f"{process.kind}-{process.index}")

    def _target_of(self, process):
        if process.kind in (steps.ENGINE, steps.VM, steps.SERVICE):
            return self._url_of(process).removeprefix("http://")
        return self._name_of(process)

    def _url_of(self, process):
        if process.kind == steps.STORE:
            return self._installation.object_api
        if process.kind == steps.SERVICE:
            return self._installation.service_url
        if process.kind in (steps.ENGINE, steps.VM):
            return f"http://{processes.HOST}:{self._installation.engine_ports[process.index]}"
        return self._installation.daemon_url(process.index)
