"""Server that closes connections which keep others from being accepted."""

import time

from waitress import server

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import caller_channel, caller_guard, connection_bound

CHECK_INTERVAL_S = 1.0
# Connections that are given up at once when there are too many: finding them takes a pass over
# all connections. While all are busy, as many may end with their next answer.
GIVEN_UP_AT_ONCE = 16
# While all connections are busy, new ones wait in the backlog until the next attempt.
ACCEPT_RETRY_S = 0.1
# Connections accepted in one turn of the event loop while callers keep it busy with parts of
# requests: such a turn takes some 20 ms, so one for each turn would leave others in the backlog.
MAX_ACCEPTS_PER_TURN = 32
# Threads are cooperative, and while the event loop always finds data, those that wait for sockets
# of endpoints or for timers do not run. After this long the loop then pauses for a moment.
MAX_BUSY_S = 0.005
PAUSE_S = 0.001


class CallerServer(server.TcpWSGIServer):
    """HTTP server whose number of connections is bounded.

    ``guard`` and ``idle_timeout_s`` must be set before the server runs.
    """

    channel_class = caller_channel.StreamingChannel
    guard = None
    idle_timeout_s = 60.0
    # Set by a connection that has received a part of a request, or data after a refusal.
    has_partial_data = False
    _is_busy = False
    _busy_since = None
    _next_check_at = 0.0
    _accept_at = 0.0
    # Connections that are to end with the next answers.
    _ends_due = 0

    def take_end(self):
        """Return whether the connection of an answer that begins now has to end with it.

        A caller that sends its next requests before it has read an answer is never idle, so its
        connection would otherwise keep its place for as long as the caller likes.
        """
        if not self._ends_due:
            return False
        self._ends_due -= 1
        return True

    def readable(self):
        """Return whether connections should be accepted; also checks timeouts once a second."""
        now = time.monotonic()
        self._is_busy = self.has_partial_data
        self.has_partial_data = False
        if not self._is_busy:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now
        elif now - self._busy_since >= MAX_BUSY_S:
            time.sleep(PAUSE_S)
            self._busy_since = None
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_S
            limits = self.guard.get_limits()
            for connection in list(self.active_channels.values()):
                connection.check_timeouts(now, limits, self.idle_timeout_s)
        return self.accepting and now >= self._accept_at

    def handle_accept(self):
        """Accept connections, after giving up others if there are too many."""
        for index in range(MAX_ACCEPTS_PER_TURN if self._is_busy else 1):
            if len(self.active_channels) >= self.adj.connection_limit:
                if index:
                    # Whether a further connection waits is known in the next turn.
                    return
                if not self._make_room():
                    self._accept_at = time.monotonic() + ACCEPT_RETRY_S
                    self._ends_due = max(0, GIVEN_UP_AT_ONCE - self._count_ending())
                    return
            self._ends_due = 0
            count = len(self.active_channels)
            super().handle_accept()
            if len(self.active_channels) == count:
                return

    def _count_ending(self):
        count = 0
        for connection in self.active_channels.values():
            if connection.is_ending:
                count += 1
        return count

    def _make_room(self):
        """Give up connections; return whether a new one can be accepted now."""
        states = []
        for connection in self.active_channels.values():
            states.append(
                connection_bound.ConnectionState(
                    connection, connection.activity, connection.last_activity
                )
            )
        for state in connection_bound.select(states, GIVEN_UP_AT_ONCE):
            if state.activity is connection_bound.Activity.ARRIVING:
                error = request_errors.Overloaded("too many connections", retry_after_s=1.0)
                state.key.refuse(error, caller_guard.NO_DESCRIPTOR)
                continue
            if state.activity is connection_bound.Activity.IDLE:
                if state.key.has_unread_data():
                    continue
                self.guard.record(caller_guard.NO_DESCRIPTOR)
            elif state.activity is connection_bound.Activity.UNREAD:
                self.guard.record(caller_guard.ANSWER_NOT_READ)
            state.key.handle_close()
        return len(self.active_channels) < self.adj.connection_limit
