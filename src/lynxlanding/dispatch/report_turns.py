"""Selects which statements of endpoints a report to peers contains."""

# Bounds the size of a report.
MAX_REPORTED = 16
MAX_REPORTED_OLD = 4


class ReportTurns:
    """Bounds the number of statements in a report; old ones take turns."""

    def __init__(self):
        self._next_old = 0

    def select(self, fresh, old):
        """Return the statements of the next report.

        Parameters
        ----------
        fresh : list
            Statements that are part of every report, up to its bound.
        old : list
            Statements that peers have heard before.
        """
        reported = fresh[:MAX_REPORTED]
        count = min(MAX_REPORTED_OLD, MAX_REPORTED - len(reported), len(old))
        for offset in range(count):
            reported.append(old[(self._next_old + offset) % len(old)])
        self._next_old += count
        return reported
