"""Tests of the choice of the nodes that poll the store."""

from burdockrun_groups import NodeEntry, find_copy_sources


def build_nodes(count: int, domains: int) -> list[NodeEntry]:
    """Return registered nodes that offer their copies of the store."""
    return [
        NodeEntry(node=f"n{index}", domain=f"d{index % domains}", copy_port=1)
        for index in range(count)
    ]


def test_nodes_of_small_domains_poll_the_store_themselves() -> None:
    """Guards against an extra hop that takes no load off the store."""
    nodes = build_nodes(7, 4)
    assert all(find_copy_sources(nodes, entry.node) == () for entry in nodes)


def test_few_nodes_of_a_large_domain_poll_the_store() -> None:
    """Guards against a load on the store that grows with every node of the fleet."""
    for count, expected in [(87, 4), (300, 12), (780, 32)]:
        nodes = build_nodes(count, 4)
        domains = {entry.node: entry.domain for entry in nodes}
        sources = {entry.node: find_copy_sources(nodes, entry.node) for entry in nodes}
        polling = {node for node, copy_sources in sources.items() if not copy_sources}
        assert len(polling) == expected
        for node, copy_sources in sources.items():
            assert {source.node for source in copy_sources} <= polling
            assert {domains[source.node] for source in copy_sources} <= {domains[node]}


def test_a_node_without_a_registration_polls_the_store_itself() -> None:
    """Guards against a node that never learns of the others."""
    assert find_copy_sources([], "n1") == ()
