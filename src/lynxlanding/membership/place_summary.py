"""Summaries that one node of each data centre publishes for all of its nodes.

Wide entries of every node would exceed the bandwidth of a node; summaries grow with the number of
data centres. While the node list changes, two nodes may publish for one data centre, or the chosen
one may not have published yet, so readers rank the publishers in the same way.
"""

from lynxlanding.membership import member, rendezvous


def is_publisher(key, node_id, place, members):
    """Return whether a node publishes the summary of its data centre.

    Parameters
    ----------
    key : str
        Key of the summary.
    node_id, place : str
        The node and its data centre.
    members : iterable of Member
        Known nodes; the own node always takes part.
    """
    candidates = {node_id}
    for item in members:
        if item.place == place and item.state == member.LIVE:
            candidates.add(item.node_id)
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
        Document of the highest-ranked live node that published one, by data centre.
    """
    publishers = {}
    for item in members:
        if item.state == member.LIVE and item.node_id in documents:
            publishers.setdefault(item.place, []).append(item.node_id)
    summaries = {}
    for place, node_ids in publishers.items():
        summaries[place] = documents[rendezvous.choose(key, node_ids, 1)[0]]
    return summaries
