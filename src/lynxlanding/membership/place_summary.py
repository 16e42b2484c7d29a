"""Summaries that one node per data centre publishes on behalf of all its nodes.

Entries of scope ``wide`` from every node would exceed the bandwidth of a node; the number of
summaries grows only with the number of data centres. While the node list changes, two nodes may
publish for one data centre, or the selected one may not have published yet. Readers therefore rank
the publishers by the same hash and use the highest one.
"""

from lynxlanding.membership import member, rendezvous


def is_publisher(key, node_id, place, members):
    """Return whether a node is the one that publishes the summary of its data centre.

    Parameters
    ----------
    key : str
        Key of the summary.
    node_id, place : str
        The node and its data centre.
    members : iterable of Member
        Known nodes; ``node_id`` is always a candidate.
    """
    candidates = {node_id}
    for node in members:
        if node.place == place and node.state == member.LIVE:
            candidates.add(node.node_id)
    return rendezvous.choose(key, candidates, 1) == [node_id]


def by_place(key, documents, members):
    """Return one summary for each data centre.

    Parameters
    ----------
    key : str
        Key of the summary.
    documents : dict of str to object
        Documents by node, from ``MembershipActor.read``.
    members : iterable of Member
        Known nodes.

    Returns
    -------
    dict of str to object
        Document of the highest-ranked live publisher, by data centre.
    """
    publishers = {}
    for node in members:
        if node.state == member.LIVE and node.node_id in documents:
            publishers.setdefault(node.place, []).append(node.node_id)
    summaries = {}
    for place, node_ids in publishers.items():
        summaries[place] = documents[rendezvous.choose(key, node_ids, 1)[0]]
    return summaries
