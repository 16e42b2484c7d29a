"""Threads that outlive unexpected errors."""

import logging
import threading
import time

# Pause before a failed loop starts again.
RESTART_PAUSE_S = 0.5

_logger = logging.getLogger(__name__)


def start(run, name):
    """Run a loop from a thread of its own and start it again after an unexpected error.

    A node whose planning or reporting has ended unseen is worse than one that logs the same
    error again and again.

    Parameters
    ----------
    run : callable
        The loop; returning ends the thread.
    name : str
        Name in the log.
    """

    def guard():
        while True:
            try:
                run()
                return
            except Exception:
                _logger.exception("the loop %s failed and starts again", name)
                time.sleep(RESTART_PAUSE_S)

    thread = threading.Thread(target=guard, name=name, daemon=True)
    thread.start()
    return thread
