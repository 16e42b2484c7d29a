"""Threads that restart after unexpected errors."""

import logging
import threading
import time

RESTART_DELAY_S = 0.5

_logger = logging.getLogger(__name__)


def start(loop, name):
    """Run a function in a daemon thread and restart it after an unexpected error.

    Repeating the same error in the log is better than a node whose planning or reporting has
    stopped unnoticed.

    Parameters
    ----------
    loop : callable
        Function to run; the thread ends when it returns.
    name : str
        Name of the thread and of the function in log messages.
    """

    def run_and_restart():
        while True:
            try:
                loop()
                return
            except Exception:
                _logger.exception("loop %s failed; restarting it", name)
                time.sleep(RESTART_DELAY_S)

    thread = threading.Thread(target=run_and_restart, name=name, daemon=True)
    thread.start()
    return thread
