import hypothesis
from hypothesis import strategies

from lynxlanding.groups import desired_groups, domain_capacity, placement


def _desired(replicas, size=4, places=(), spec="spec"):
    return desired_groups.DesiredGroups(spec, "model", "v1", (), size, replicas, places)


@hypothesis.seed(7)
@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(
    free=strategies.lists(strategies.integers(0, 40), min_size=1, max_size=6),
    replicas=strategies.integers(0, 20),
    size=strategies.integers(1, 8),
)
def test_each_group_fits_into_one_domain(free, replicas, size):
    """Guards against a group that spans fabric domains or is counted twice."""
    capacities = []
    for index, count in enumerate(free):
        capacities.append(domain_capacity.DomainCapacity(f"d{index}", f"p{index % 3}", count))
    allocation, unplaced = placement.allocate([_desired(replicas, size)], capacities)
    placed = 0
    for capacity in capacities:
        held = allocation[capacity.name].get("spec", 0)
        assert held * size <= capacity.free_vms
        placed += held
    assert placed + unplaced.get("spec", 0) == replicas
    assert placed == min(replicas, sum(count // size for count in free))


def test_existing_groups_stay_unless_domain_is_lost():
    """Guards against unnecessary moves and against groups that stay in a lost fabric domain."""
    capacities = [
        domain_capacity.DomainCapacity("d0", "p0", 0, {"spec": 3}),
        domain_capacity.DomainCapacity("d1", "p1", 40),
    ]
    allocation, _ = placement.allocate([_desired(4)], capacities)
    assert allocation == {"d0": {"spec": 3}, "d1": {"spec": 1}}
    capacities[0] = domain_capacity.DomainCapacity("d0", "p0", 0)
    allocation, _ = placement.allocate([_desired(4)], capacities)
    assert allocation == {"d0": {}, "d1": {"spec": 4}}


def test_groups_are_spread_over_data_centres():
    """Guards against placing all groups in one data centre although others have capacity."""
    capacities = [
        domain_capacity.DomainCapacity("d0", "p0", 100),
        domain_capacity.DomainCapacity("d1", "p1", 10),
        domain_capacity.DomainCapacity("d2", "p2", 100),
    ]
    allocation, _ = placement.allocate([_desired(5, places=("p0", "p1"))], capacities)
    assert allocation == {"d0": {"spec": 3}, "d1": {"spec": 2}, "d2": {}}
