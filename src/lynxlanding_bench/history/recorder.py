"""Appends what callers and the scenario runner did to a history file.

One JSON object a line. Every record has ``event``, ``source`` and ``time`` (seconds since the
epoch; all processes of a run share one clock). The stand-ins write the same format. Events:

===================  ==============================================================================
``call``             a caller sends: ``id``, ``kind`` (stream, booking, unkeyed), ``node``,
                     ``expected`` (text) or ``reference``, ``at_most_once``
``answer``           end of a call: ``id``, ``result`` (whole, refused, broken), ``status``,
                     ``executed``, ``request_id``, ``text`` or ``reference``
``generate``         an engine starts work: ``request_id``, ``attempt_id``, ``endpoint``, ``group``,
                     ``arrived``
``run``              a plain service runs a call: ``request_id``, ``reference``, ``endpoint``
``accepted``         an operator's change was accepted: ``change_id``, ``revision``
``submitted``        an operator's change whose outcome is unknown: ``change_id``
``revision``         a node tells its revision: ``node``, ``revision``
``accepted_history`` accepted changes at the end of the run: ``changes`` [[revision, change_id]]
``domain``           a domain object: ``domain``, ``groups`` {group: [vm, ...]}
``vm_down, vm_up``   a VM is lost or is back: ``vm``
``leaving, staying`` an endpoint starts or ceases to leave: ``endpoint``, ``bound_s``
``planned_stop``     a graceful stop begins: ``target`` (node or endpoint)
``fault``            an unplanned fault begins: ``target``, ``kind`` (kill, pause, ...)
``recovered``        the target works again: ``target``
===================  ==============================================================================
"""

import json
import threading
import time


class Recorder:
    """Writes records to a file.

    Parameters
    ----------
    path : str or pathlib.Path
        File to append to.
    source : str
        Name of the writer.
    """

    def __init__(self, path, source):
        self._file = open(path, "a", encoding="utf-8", buffering=1)
        self._source = source
        self._lock = threading.Lock()

    def record(self, event, **fields):
        """Append one record with the current time."""
        document = {"event": event, "source": self._source, "time": time.time(), **fields}
        line = json.dumps(document) + "\n"
        with self._lock:
            self._file.write(line)

    def close(self):
        """Close the file."""
        self._file.close()
