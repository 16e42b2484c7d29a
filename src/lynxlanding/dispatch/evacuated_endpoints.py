"""Endpoints that get no requests because a data centre is evacuated."""


class EvacuatedEndpoints:
    """Endpoints in evacuated data centres and heads of groups with members there.

    Performs no I/O. A group with only some members in an evacuated data centre may lose them at any
    moment, but serves as long as no other group does.

    Parameters
    ----------
    data_centres : frozenset of str
        Evacuated data centres.
    records : iterable of EndpointRecord
        All registered endpoints.
    """

    def __init__(self, data_centres=frozenset(), records=()):
        self._data_centres = data_centres
        self._groups = set()
        if not data_centres:
            return
        for record in records:
            if record.membership is not None and record.data_centre in data_centres:
                self._groups.add(_group_key(record))

    @property
    def is_empty(self):
        """Whether no data centre is evacuated."""
        return not self._data_centres

    def contains(self, record):
        """Return whether an endpoint is in an evacuated data centre."""
        return record.data_centre in self._data_centres

    def select_heads(self, heads):
        """Return those of a model's heads that may get requests.

        Heads outside whose group has a member in an evacuated data centre are among them only if
        there are no others.
        """
        outside = [record for record in heads if not self.contains(record)]
        unaffected = [record for record in outside if _group_key(record) not in self._groups]
        return unaffected or outside


def prefer_outside(records, data_centres):
    """Return the endpoints outside some data centres; all of them if there are no others."""
    if not data_centres:
        return records
    return [record for record in records if record.data_centre not in data_centres] or records


def _group_key(record):
    return record.service, record.membership.name, record.membership.epoch
