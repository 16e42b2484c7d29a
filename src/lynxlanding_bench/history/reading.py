"""Reads history files."""

import json

from lynxlanding_bench.history import history


def read(paths):
    """Read history files into one history.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Files with one JSON object a line.

    Returns
    -------
    History
        All records in order of time.
    """
    records = []
    unreadable = []
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            if not line.strip():
                continue
            try:
                record = json.loads(line)
                float(record["time"])
                str(record["event"])
            except (ValueError, KeyError, TypeError):
                unreadable.append(line)
                continue
            records.append(record)
    records.sort(key=lambda record: record["time"])
    return history.History(records, unreadable)
