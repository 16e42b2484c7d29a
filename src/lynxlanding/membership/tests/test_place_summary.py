from lynxlanding.membership import member, place_summary


def _members(states):
    members = []
    for index, state in enumerate(states):
        place = "a" if index < 3 else "b"
        members.append(member.Member(f"n{index}", 1, "", place, "coast", state))
    return members


def test_one_live_node_publishes_for_each_place():
    """Guards against a data centre without a summary, or with more than one publisher."""
    members = _members([member.LIVE] * 5)
    publishers = []
    for node in members:
        if place_summary.is_publisher("demand", node.node_id, node.place, members):
            publishers.append(node)
    assert sorted(node.place for node in publishers) == ["a", "b"]
    states = [member.SUSPECTED if node in publishers else member.LIVE for node in members]
    remaining = _members(states)
    successors = [
        node.place
        for node in remaining
        if node.state == member.LIVE
        and place_summary.is_publisher("demand", node.node_id, node.place, remaining)
    ]
    assert sorted(successors) == ["a", "b"]


def test_summaries_of_two_publishers_are_not_both_counted():
    """Guards against counting demand twice while the publisher changes."""
    members = _members([member.LIVE] * 5)
    documents = {node.node_id: node.node_id for node in members}
    summaries = place_summary.by_place("demand", documents, members)
    assert sorted(summaries) == ["a", "b"]
    for place, node_id in summaries.items():
        assert place_summary.is_publisher("demand", node_id, place, members)
    del documents[summaries["a"]]
    assert place_summary.by_place("demand", documents, members)["a"] in documents
