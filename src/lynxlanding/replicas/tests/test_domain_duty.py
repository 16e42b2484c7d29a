"""Pattern: hundreds of nodes, each of which asks at each change of the fleet what it plans."""

from lynxlanding.membership import rendezvous
from lynxlanding.replicas import domain_duty

NODES = [f"n{number}" for number in range(195)]
DOMAINS = [f"d{number}" for number in range(40)]


def test_each_domain_has_one_planner():
    duties = {node_id: domain_duty.DomainDuty(node_id) for node_id in NODES}
    for domain in DOMAINS:
        planners = [node for node in NODES if duties[node].is_responsible(domain, NODES)]
        assert planners == rendezvous.choose(domain, NODES, 1)


def test_nodes_are_hashed_only_when_they_have_changed(monkeypatch):
    calls = []
    choose = rendezvous.choose
    monkeypatch.setattr(
        rendezvous, "choose", lambda *arguments: calls.append(arguments) or choose(*arguments)
    )
    duty = domain_duty.DomainDuty(choose(DOMAINS[0], NODES, 1)[0])
    for nodes in (NODES, list(reversed(NODES)), NODES):
        for domain in DOMAINS:
            duty.is_responsible(domain, nodes)
    assert len(calls) == len(DOMAINS)
    planned = [name for name in DOMAINS if duty.is_responsible(name, NODES)]
    others = [node for node in NODES if node != choose(DOMAINS[0], NODES, 1)[0]]
    for domain in planned:
        assert not duty.is_responsible(domain, others)
    assert planned
    assert len(calls) == len(DOMAINS) + len(planned)
