"""Actor that shares one retry policy between the threads of a node."""

import pykka

from lynxlanding.retry import retry_policy


class RetryActor(pykka.ThreadingActor):
    """Runs ``RetryPolicy`` in a single thread."""

    use_daemon_thread = True

    def __init__(self):
        super().__init__()
        self._policy = retry_policy.RetryPolicy()

    def record_request(self):
        """Count the first attempt of a request."""
        self._policy.record_request()

    def record_success(self, target, duration_s):
        """Record the time until a response began, in seconds."""
        self._policy.record_success(target, duration_s)

    def decide(self, query, now):
        """Return ``granted`` or the reason for the refusal."""
        return self._policy.decide(query, now)
