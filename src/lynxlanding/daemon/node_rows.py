"""Rows of the table ``nodes``, fetched from the nodes by HTTP."""

import concurrent.futures

import urllib3

from lynxlanding.configuration import propagation_status
from lynxlanding.daemon import status_handler
from lynxlanding.membership import member as member_type
from lynxlanding.operators.view import rows

# The rows are fetched only for a query. Gossiping the revision of each node instead would send 410
# entries to every node for each change.
REQUEST_TIMEOUT_S = 1.0
MAX_CONCURRENT_REQUESTS = 32


class NodeRowSource:
    """Fetches the status of every live node.

    Parameters
    ----------
    control_plane : ControlPlane
        Provides the members and the status of this node.
    node_id : str
        Identifier of this node.
    pool : urllib3.PoolManager
        HTTP connection pool for requests to other nodes.
    """

    def __init__(self, control_plane, node_id, pool):
        self._control_plane = control_plane
        self._node_id = node_id
        self._pool = pool

    def fetch(self):
        """Return one row for each known node."""
        members = self._control_plane.membership.members().get()
        with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as executor:
            return tuple(executor.map(self._fetch_row, members))

    def _fetch_row(self, member):
        if member.node_id == self._node_id:
            status = self._control_plane.configuration.status().get()
            return _make_row(
                member, member.state, status.number, status.state, status.confirmed_age_s
            )
        if member.state != member_type.LIVE:
            return _make_row(member, member.state, 0, "", None)
        try:
            response = self._pool.request(
                "GET",
                f"http://{member.address}{status_handler.PATH}",
                retries=False,
                timeout=REQUEST_TIMEOUT_S,
            )
            remote_status = response.json()["configuration"]
            return _make_row(
                member,
                member.state,
                remote_status["revision"],
                remote_status["state"],
                remote_status["confirmed_age_s"],
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return _make_row(member, rows.UNREACHABLE, 0, "", None)


def _make_row(member, state, revision, configuration_state, confirmed_age_s):
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
