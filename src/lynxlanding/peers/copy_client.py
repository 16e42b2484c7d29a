"""Asks other nodes for their configuration."""

import json
import urllib.parse

import urllib3

from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import copy_answer, copy_offers
from lynxlanding.transport import address as transport_address
from lynxlanding.transport import guarded_connection

PATH = "/peer/v1/configuration"
# A node in the same fleet answers within some milliseconds; one that does not is frozen or cut off.
CONNECT_TIMEOUT_S = 0.3
HEAD_TIMEOUT_S = 0.4
# Beyond that, time for the body of the largest copy.
BODY_TIMEOUT_S = 1.0
MAX_COPY_BYTES = 2 << 20


class CopyClient:
    """HTTP client for the configurations of other nodes, without retries.

    Parameters
    ----------
    own_address : str
        ``host:port`` at which this node serves other nodes.
    """

    def __init__(self, own_address):
        self._own_address = own_address
        self._pool = guarded_connection.make_pool_manager(
            MAX_COPY_BYTES, BODY_TIMEOUT_S, num_pools=4, maxsize=1, retries=False
        )

    def fetch(self, address, number):
        """Ask a node for a configuration that is newer than the one with a number.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        number : int
            Number of this node's configuration.

        Returns
        -------
        CopyAnswer

        Raises
        ------
        errors.membership.MembershipError
            If the node does not answer, or not as expected.
        """
        query = urllib.parse.urlencode({"after": number, "address": self._own_address})
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=HEAD_TIMEOUT_S)
        try:
            response = self._pool.request("GET", f"http://{address}{PATH}?{query}", timeout=timeout)
        except urllib3.exceptions.HTTPError as e:
            raise membership_errors.PeerUnreachable(f"{address}: {e}") from e
        if response.status == 200:
            return copy_answer.CopyAnswer(response.data)
        if response.status == 204:
            return copy_answer.CopyAnswer()
        if response.status == 503:
            return copy_answer.CopyAnswer(is_busy=True, holders=_decode_holders(response.data))
        raise membership_errors.PeerUnreachable(f"{address}: status {response.status}")


def _decode_holders(data):
    try:
        holders = json.loads(data)["holders"]
    except (ValueError, KeyError, TypeError) as e:
        raise membership_errors.MalformedMessage(f"list of holders: {e}") from e
    if not isinstance(holders, list):
        raise membership_errors.MalformedMessage("the holders are not a list")
    found = []
    for holder in holders[: copy_offers.MAX_HINTS]:
        if isinstance(holder, str) and transport_address.is_valid(holder):
            found.append(holder)
    return tuple(found)
