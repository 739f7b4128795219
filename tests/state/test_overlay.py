from collections import deque

from gentianthread.state.overlay import choose_neighbours

from ..base import TestCase


def fleet(per_zone: int, zones: int) -> dict[str, list[str]]:
    return {f"z{z}": [f"n{z}-{number}" for number in range(per_zone)] for z in range(zones)}


def links(nodes: dict[str, list[str]]) -> dict[str, set[str]]:
    """Return the links of all nodes in both directions."""
    graph = {name: set() for names in nodes.values() for name in names}
    for zone, names in nodes.items():
        for name in names:
            for other in choose_neighbours(name, zone, nodes):
                graph[name].add(other)
                graph[other].add(name)
    return graph


def hops(graph: dict[str, set[str]], start: str) -> dict[str, int]:
    distance, waiting = {start: 0}, deque([start])
    while waiting:
        name = waiting.popleft()
        for other in graph[name] - distance.keys():
            distance[other] = distance[name] + 1
            waiting.append(other)
    return distance


class TestChooseNeighbours(TestCase):
    def test_two_in_the_own_zone_and_one_in_each_of_two_others(self):
        """Guards against a node without an observer in its own zone or a link to other zones."""
        nodes = fleet(20, 4)
        for name in nodes["z1"]:
            chosen = choose_neighbours(name, "z1", nodes)
            zones = [other.split("-")[0][1:] for other in chosen]
            self.assertEqual(4, len(set(chosen)))
            self.assertNotIn(name, chosen)
            self.assertEqual(["1", "1"], zones[:2])
            self.assertEqual(3, len(set(zones)))

    def test_flood_reaches_every_node_in_few_hops(self):
        """Guards against a leaving announcement that needs longer than 3 s at 670 nodes."""
        graph = links(fleet(168, 4))
        distance = hops(graph, "n0-0")
        self.assertEqual(672, len(distance))
        self.assertTrue(max(distance.values()) <= 8, max(distance.values()))
        self.assertAlmostEqual(8, sum(map(len, graph.values())) / 672, delta=0.3)

    def test_partitioned_zone_stays_connected(self):
        """Guards against a zone whose nodes are connected only by links to other zones."""
        graph = links({"z0": fleet(168, 1)["z0"]})
        distance = hops(graph, "n0-0")
        self.assertEqual(168, len(distance))
        self.assertTrue(max(distance.values()) <= 9, max(distance.values()))

    def test_lost_node_moves_few_links(self):
        """Guards against one failure that makes unrelated nodes open new links."""
        nodes = fleet(50, 4)
        before = {name: choose_neighbours(name, "z0", nodes) for name in nodes["z0"]}
        nodes["z1"].remove("n1-7")
        after = {name: choose_neighbours(name, "z0", nodes) for name in nodes["z0"]}
        moved = [name for name in before if before[name] != after[name]]
        self.assertTrue(all("n1-7" in before[name] for name in moved))

    def test_small_fleets(self):
        """Guards against an error in a fleet with too few nodes to choose from."""
        self.assertEqual((), choose_neighbours("a", "z", {"z": ["a"]}))
        self.assertEqual(("b",), choose_neighbours("a", "z", {"z": ["a", "b"]}))
        self.assertEqual(("c",), choose_neighbours("a", "z", {"z": ["a"], "y": ["c"], "x": []}))
