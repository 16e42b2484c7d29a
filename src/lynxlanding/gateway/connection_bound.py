"""Chooses the connections that are given up when a server has as many as it may have.

It addresses clients that open connections and keep them, without sending requests.
"""

import dataclasses
import enum
import heapq


class Activity(enum.IntEnum):
    """What a connection does, in the order in which connections are given up."""

    # The caller has been refused and is given time to read the refusal.
    REFUSED = 0
    IDLE = 1
    # Part of a request has arrived.
    ARRIVING = 2
    # The caller takes nothing of its answer.
    UNREAD = 3
    # A request runs or its answer is being sent; such connections are never given up.
    BUSY = 4


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionState:
    """State of one connection.

    Parameters
    ----------
    key : object
        Identifies the connection.
    activity : Activity
        What the connection does.
    last_activity : float
        When data were last received or sent, seconds.
    """

    key: object
    activity: Activity
    last_activity: float


def select(states, count):
    """Return the states of at most ``count`` connections to give up, the least useful first.

    Within one activity these are the connections that have been quiet for longest.
    """
    candidates = [state for state in states if state.activity is not Activity.BUSY]
    return heapq.nsmallest(
        count, candidates, key=lambda state: (state.activity, state.last_activity)
    )
