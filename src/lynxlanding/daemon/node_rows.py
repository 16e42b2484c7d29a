"""Rows of the table ``nodes``, asked from the nodes themselves."""

import concurrent.futures

import urllib3

from lynxlanding.configuration import propagation_status
from lynxlanding.daemon import status_handler
from lynxlanding.membership import member as member_type
from lynxlanding.operators.view import rows

# The table is gathered only when it is queried. Publishing each node's revision by gossip would
# send 410 entries to every node for each change.
TIMEOUT_S = 1.0
CONCURRENCY = 32


class NodeRowSource:
    """Asks every live node for its status.

    Parameters
    ----------
    control : ControlPlane
        Members, and the status of the own node.
    node_id : str
        The own node.
    pool : urllib3.PoolManager
        Connection pool.
    """

    def __init__(self, control, node_id, pool):
        self._control = control
        self._node_id = node_id
        self._pool = pool

    def fetch(self):
        """Return one row for each known node."""
        members = self._control.membership.members().get()
        with concurrent.futures.ThreadPoolExecutor(CONCURRENCY) as executor:
            return tuple(executor.map(self._row, members))

    def _row(self, member):
        if member.node_id == self._node_id:
            status = self._control.configuration.status().get()
            return _make(member, member.state, status.number, status.state, status.confirmed_age_s)
        if member.state != member_type.LIVE:
            return _make(member, member.state, 0, "", None)
        try:
            response = self._pool.request(
                "GET",
                f"http://{member.address}{status_handler.PATH}",
                retries=False,
                timeout=TIMEOUT_S,
            )
            found = response.json()["configuration"]
            return _make(
                member, member.state, found["revision"], found["state"], found["confirmed_age_s"]
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return _make(member, rows.UNREACHABLE, 0, "", None)


def _make(member, state, revision, configuration_state, confirmed_age_s):
    is_uncertain = configuration_state not in ("", propagation_status.CERTAIN)
    return rows.NodeRow(
        member.node_id,
        member.place,
        member.region,
        state,
        revision,
        is_uncertain,
        confirmed_age_s,
    )
