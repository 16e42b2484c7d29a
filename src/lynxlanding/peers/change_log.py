"""The latest changes of one kind of objects, for nodes that have missed some of them."""

import collections
import dataclasses

# Some twenty seconds of changes of a busy kind; a node that has missed more reads from the store.
MAX_MESSAGES = 64


class ChangeLog:
    """Consecutive ``FeedMessage`` objects that a relay has published; performs no I/O.

    Parameters
    ----------
    version : StoreVersion
        Version that the first message follows.
    """

    def __init__(self, version):
        self._first_version = version
        self._messages = collections.deque()

    @property
    def version(self):
        """Version that the last message leads to."""
        return self._messages[-1].version if self._messages else self._first_version

    def append(self, message):
        """Add a message; return False if it does not follow the last one."""
        if message.after != self.version:
            return False
        last = self._messages[-1] if self._messages else None
        if last is not None and not _has_changes(last):
            # Messages without changes only move the version, and come twice a second.
            self._messages[-1] = dataclasses.replace(message, after=last.after)
            return True
        self._messages.append(message)
        if len(self._messages) > MAX_MESSAGES:
            self._first_version = self._messages.popleft().version
        return True

    def since(self, version):
        """Return the messages that lead on from a version; None if not all of them are kept.

        A version within a message needs the whole of it. Its earlier changes are repeated then, as
        they are when a node changes its relay.
        """
        if version.era != self._first_version.era or version < self._first_version:
            return None
        found = []
        for message in self._messages:
            if message.version > version:
                found.append(message)
        return found


def _has_changes(message):
    return bool(message.puts or message.deletes or message.was_outage)
