"""Second attempt at a request whose endpoint is silent."""

import logging
import threading
import time

from lynxlanding.errors import base as base_errors
from lynxlanding.errors import endpoint as endpoint_errors

_logger = logging.getLogger(__name__)


class StandbyAttempt:
    """Runs an attempt beside a silent one, which stays until the other has answered.

    A sound endpoint may pause for a second, and its replacement may be silent, full or gone. If the
    silent attempt were aborted first, its answer would be lost with the replacement.

    Parameters
    ----------
    forwarder : RequestForwarder
        Makes the attempt, and owns it from then on.
    resume_after : int or None
        Id of the last event that the caller has received, if a stream is resumed.
    on_answered : callable
        Called without arguments from the attempt's thread once it has answered.
    """

    def __init__(self, forwarder, resume_after, on_answered):
        self._forwarder = forwarder
        self._resume_after = resume_after
        self._on_answered = on_answered
        self._reply = None
        self._refused_at = None
        self._has_ended = threading.Event()
        self._is_cancelled = False

    @property
    def forwarder(self):
        """``RequestForwarder`` of the attempt."""
        return self._forwarder

    @property
    def resume_after(self):
        """Id of the event after which the attempt resumes the stream, or None."""
        return self._resume_after

    @property
    def has_failed(self):
        """Whether the attempt has ended without an answer."""
        return self._has_ended.is_set() and self._reply is None

    @property
    def refused_at(self):
        """When the endpoint refused the request, monotonic seconds; None if it did not."""
        return self._refused_at

    @property
    def has_answered(self):
        """Whether the attempt has an answer: its first events, or all of it if it is no stream."""
        return self._reply is not None

    def start(self):
        """Start the thread of the attempt."""
        threading.Thread(target=self._run, name="standby", daemon=True).start()

    def wait(self):
        """Wait until the attempt has ended; return its ``Reply``, or None if it has failed."""
        self._has_ended.wait()
        return self._reply

    def cancel(self):
        """Abort the attempt, or close its answer, which is not needed."""
        self._is_cancelled = True
        self._forwarder.abort()
        self._close_reply()

    def _run(self):
        try:
            self._reply = self._forwarder.forward_once(self._resume_after)
        except endpoint_errors.EndpointRefused:
            # The forwarder has logged it, also in the next case; the silent attempt goes on.
            self._refused_at = time.monotonic()
        except base_errors.LynxlandingError:
            pass
        except Exception:
            _logger.exception("internal error in a standby attempt")
        finally:
            self._has_ended.set()
        if self._is_cancelled:
            self._close_reply()
        elif self._reply is not None:
            self._on_answered()

    def _close_reply(self):
        if self._reply is not None and self._reply.stream is not None:
            self._reply.stream.close()
