"""Which heads of replica groups a node compares first, if there are many."""

import xxhash

# Heads compared per decision; more of them take longer and hardly improve the result.
MAX_COMPARED_HEADS = 16
# Of these, at least so many are in other data centres, so that work leaves a data centre which has
# lost its groups.
MIN_REMOTE_HEADS = 6


class HeadPreference:
    """Orders the heads of a model for one node; performs no I/O.

    A node that compares a new random sample for each request sends each head a request now and
    then, too seldom for a connection to stay open in between. So it prefers the same few heads.
    Nodes prefer different ones, so that together they use all heads evenly.

    Parameters
    ----------
    data_centre : str
        Data centre of the node, whose heads come first.
    random_state : random.Random
        Makes the order differ between nodes.
    """

    def __init__(self, data_centre, random_state):
        self._data_centre = data_centre
        self._seed = random_state.getrandbits(32)
        self._random_state = random_state

    def arrange(self, heads):
        """Return the heads with the preferred ones first.

        The loss of a head moves up one other, and changes no more.
        """
        local = []
        remote = []
        for record in heads:
            is_local = record.data_centre == self._data_centre
            (local if is_local else remote).append(record)
        local.sort(key=self._rank)
        remote.sort(key=self._rank)
        preferred_local = MAX_COMPARED_HEADS - min(MIN_REMOTE_HEADS, len(remote))
        return local[:preferred_local] + remote + local[preferred_local:]

    def select(self, heads):
        """Return the heads to compare first, from all in the order of ``arrange``."""
        return heads[:MAX_COMPARED_HEADS]

    def sample_others(self, heads):
        """Return a random sample of the remaining heads, to compare if the first ones are full."""
        others = heads[MAX_COMPARED_HEADS:]
        return self._random_state.sample(others, min(MAX_COMPARED_HEADS, len(others)))

    def _rank(self, record):
        return xxhash.xxh64_intdigest(record.endpoint_id, self._seed)
