"""Which fabric domains a node plans."""

from lynxlanding.membership import rendezvous


class DomainDuty:
    """Assigns domains to nodes by rendezvous hashing; performs no I/O.

    Every node asks for every domain at each change of the fleet, and each answer takes a hash of
    every node. So the answers are kept until the nodes change.

    Parameters
    ----------
    node_id : str
        Id of this node.
    """

    def __init__(self, node_id):
        self._node_id = node_id
        self._nodes = None
        self._answers = {}

    def is_responsible(self, domain_name, planning_nodes):
        """Return whether this node plans a domain.

        Parameters
        ----------
        domain_name : str
            Name of the domain.
        planning_nodes : list of str
            Ids of the nodes that plan domains, in any order.
        """
        nodes = frozenset(planning_nodes)
        if nodes != self._nodes:
            self._nodes = nodes
            self._answers = {}
        answer = self._answers.get(domain_name)
        if answer is None:
            answer = rendezvous.choose(domain_name, nodes, 1) == [self._node_id]
            self._answers[domain_name] = answer
        return answer
