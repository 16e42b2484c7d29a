"""Appends what a stand-in did to a history file, one JSON object a line."""

import json
import time


class HistoryFile:
    """Writes records to a file, or nowhere without a path.

    Parameters
    ----------
    path : str or None
        File to append to.
    source : str
        Name of the stand-in.
    """

    def __init__(self, path, source):
        self._file = open(path, "a", encoding="utf-8", buffering=1) if path else None
        self._source = source

    def record(self, event, **fields):
        """Append one record with the time in seconds since the epoch."""
        if self._file is None:
            return
        fields.update(event=event, source=self._source, time=time.time())
        self._file.write(json.dumps(fields) + "\n")
