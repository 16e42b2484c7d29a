"""Starts stand-ins and daemons as separate processes and ends them by their id."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import urllib3

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
# Larger than any installation.
PORT_BLOCK = 200
# Installations of one test process that may exist at the same time.
KEPT_MARKS = 8
_MARKS = []


class Processes:
    """Child processes of one run, with their logs in a directory.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of logs and settings files.
    """

    def __init__(self, directory):
        self._directory = pathlib.Path(directory)
        self._running = {}
        self._commands = {}
        self._sources = {}

    @property
    def directory(self):
        """Directory of logs and settings files."""
        return self._directory

    def use_sources(self, name, path):
        """Run the sources below ``path`` at the next start of a process, another version of them.

        Parameters
        ----------
        name : str
            Name of the process.
        path : pathlib.Path or None
            Directory of the packages; None for those of the calling process.
        """
        self._sources[name] = path

    def start(self, name, module, *arguments):
        """Start ``python -m module arguments`` under ``name``.

        Parameters
        ----------
        name : str
            Name for later calls and for the log file.
        module : str
            Module to run.
        *arguments : object
            Command-line arguments.
        """
        self._commands[name] = (module, arguments)
        environment = {**os.environ, "OPENBLAS_NUM_THREADS": "1"}
        sources = self._sources.get(name)
        if sources is not None:
            environment["PYTHONPATH"] = str(sources)
        with open(self._directory / f"{name}.log", "ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )

    def restart(self, name):
        """Start a process that has ended again, with the same arguments."""
        module, arguments = self._commands[name]
        self.start(name, module, *arguments)

    def start_standin(self, name, *arguments):
        """Start a stand-in; the arguments are those of ``lynx-standins``."""
        self.start(name, "lynxlanding_standins.main", *arguments)

    def start_daemon(self, name, settings_path):
        """Start ``lynxlandingd`` with a settings file."""
        self.start(name, "lynxlanding.daemon.main", "--config", settings_path)

    def pid(self, name):
        """Return the process id."""
        return self._running[name].pid

    def is_running(self, name):
        """Return whether the process has not ended."""
        return self._running[name].poll() is None

    def signal(self, name, number):
        """Send a signal to the process."""
        os.kill(self._running[name].pid, number)

    def kill(self, name):
        """Kill the process without notice and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self._running[name].wait()

    def wait(self, name, timeout_s):
        """Wait for the end of the process and return its exit code."""
        return self._running[name].wait(timeout_s)

    def stop_all(self):
        """End every process that still runs, by its id."""
        for process in self._running.values():
            if process.poll() is None:
                # A stopped process does not act on SIGTERM before it continues.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running.values():
            process.wait(STOP_TIMEOUT_S)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.stop_all()


def free_ports(count):
    """Return ``count`` consecutive TCP ports that are free on loopback.

    A port that was found free could be taken by another run before it is used. Runs therefore take
    ports in aligned blocks, and hold the first port of each block as a mark.

    Parameters
    ----------
    count : int
        At most ``PORT_BLOCK - 1``.
    """
    if count >= PORT_BLOCK:
        raise ValueError(f"at most {PORT_BLOCK - 1} ports can be reserved together")
    random_state = random.SystemRandom()
    while True:
        # The kernel's ephemeral range is avoided, so that outgoing connections take no port.
        first = 10_000 + random_state.randrange(20_000 // PORT_BLOCK) * PORT_BLOCK
        mark = socket.socket()
        try:
            mark.bind((HOST, first))
        except OSError:
            mark.close()
            continue
        ports = list(range(first + 1, first + 1 + count))
        if not all(_is_free(port) for port in ports):
            mark.close()
            continue
        _MARKS.append(mark)
        if len(_MARKS) > KEPT_MARKS:
            _MARKS.pop(0).close()
        return ports


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def wait_for(url, status=200, timeout_s=START_TIMEOUT_S):
    """Wait until a GET of ``url`` answers with ``status``; raises ``TimeoutError``."""
    deadline = time.monotonic() + timeout_s
    pool = urllib3.PoolManager()
    while time.monotonic() < deadline:
        try:
            if pool.request("GET", url, retries=False, timeout=2.0).status == status:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{url} did not answer with {status} within {timeout_s} s")
