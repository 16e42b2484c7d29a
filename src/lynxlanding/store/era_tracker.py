"""Follows the era of a store from its responses."""

import eliot

from lynxlanding.errors import platform as platform_errors

# Era of a store that does not state one.
UNSTATED_ERA = 0

ERA_CHANGED = "lynxlanding:store:era_changed"
ERA_MISSING = "lynxlanding:store:era_missing"


class EraTracker:
    """Latest era of a store, as its responses state it; performs no I/O but logging."""

    def __init__(self):
        self._current = None
        self._is_missing = False

    @property
    def current(self):
        """Latest known era, or None before the first response."""
        return self._current

    def record(self, era, era_at_call):
        """Record the era that a response states.

        Parameters
        ----------
        era : int or None
            Era in the response; None if it states none.
        era_at_call : int or None
            Value of ``current`` when the call was sent.

        Raises
        ------
        errors.platform.StoreRolledBack
            If the response was sent before the store started its present era. What it says is no
            longer valid.
        """
        if era is None:
            self._record_missing()
            return
        self._is_missing = False
        if era == self._current:
            return
        is_late = self._current is not None and era < self._current
        if is_late and era_at_call != self._current:
            raise platform_errors.StoreRolledBack(
                f"response of era {era} arrived in era {self._current}"
            )
        if self._current is not None:
            # An era that goes back is adopted too: revisions of the other era are not comparable.
            eliot.log_message(
                message_type=ERA_CHANGED, era=era, previous=self._current, went_back=is_late
            )
        self._current = era

    def _record_missing(self):
        if self._current is None:
            self._current = UNSTATED_ERA
        if not self._is_missing:
            self._is_missing = True
            eliot.log_message(message_type=ERA_MISSING, era_assumed=self._current)
