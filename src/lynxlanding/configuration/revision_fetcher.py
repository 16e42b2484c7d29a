"""Fetches revisions from peers or from the store."""

import json

from lynxlanding.configuration import (
    propagation_decisions,
    repository,
    revision_bundle,
    revision_handler,
    store_calls,
)
from lynxlanding.errors import configuration as configuration_errors

TIMEOUT_S = 3.0


class RevisionFetcher:
    """Fetches and verifies one revision per call.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    transport : PeerTransport
        Transport for requests to the peers.
    log : RevisionLog
        Recent revisions of this node.
    """

    def __init__(self, store, transport, log):
        self._store = store
        self._transport = transport
        self._log = log

    def fetch(self, source, address, digest):
        """Return the ``LoadedRevision`` with a digest.

        Parameters
        ----------
        source : str
            Node that holds the revision, or ``propagation_decisions.STORE``.
        address : str or None
            Peer address of that node; None uses the store.
        digest : str
            Digest of the revision.

        Raises
        ------
        errors.membership.PeerUnreachable
            If the peer did not return the revision.
        errors.platform.PlatformError
            If the store did not return it.
        errors.configuration.InvalidObject
            If the response is malformed or does not match its digests.
        """
        if source == propagation_decisions.STORE or address is None:
            return store_calls.run(repository.load(digest, self._log.cache), self._store)
        base = self._log.current
        response = self._transport.post(
            address,
            revision_handler.PATH,
            json.dumps({"base": base.digest, "digest": digest}).encode(),
            "application/json",
            TIMEOUT_S,
        )
        try:
            bundle = json.loads(response)
        except ValueError as e:
            raise configuration_errors.InvalidObject("bundle", f"not JSON: {e}") from e
        return revision_bundle.load(bundle, base, digest, self._log.cache)
