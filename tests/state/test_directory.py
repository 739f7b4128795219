import attrs

from gentianthread.clock import ManualClock
from gentianthread.ids import AvailabilityZoneId, ServiceId, UpstreamId
from gentianthread.state.directory import Directory, UpstreamEntry, UpstreamState

from ..base import TestCase

KEPT_MS = 2_000


def entry(name, host="10.0.0.1", state=UpstreamState.READY, service="catalogue", started_at_ms=0):
    return UpstreamEntry(
        UpstreamId(name),
        ServiceId(service),
        host,
        80,
        AvailabilityZoneId("a"),
        8,
        state,
        started_at_ms=started_at_ms,
    )


class TestDirectory(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.directory = Directory(self.clock.now_ms)

    def ready(self, service="catalogue"):
        return [upstream.upstream_id for upstream in self.directory.ready(ServiceId(service))]

    def test_only_ready_upstreams_of_the_service_take_work(self):
        """Guards against work for a draining upstream or one of another service."""
        self.directory.put(entry("a"))
        self.directory.put(entry("b", state=UpstreamState.DRAINING))
        self.directory.put(entry("c", service="orders"))
        self.assertEqual(["a"], self.ready())

    def test_draining_takes_effect_at_once(self):
        """Guards against a cached list that still contains a draining upstream."""
        self.directory.put(entry("a"))
        self.assertEqual(["a"], self.ready())
        self.directory.put(entry("a", state=UpstreamState.DRAINING))
        self.assertEqual([], self.ready())

    def test_cold_time_that_begins_anew_is_published(self):
        """Guards against a target that becomes cold twice and is warm for its node too early."""
        changed = []
        self.directory.changes.subscribe(changed.append)
        cold = attrs.evolve(entry("a"), warm_up_ms=3_000.0, write_number=1)
        for write_number in (1, 1, 2, 2):
            self.directory.put(attrs.evolve(cold, write_number=write_number))
        self.assertEqual(["a", "a"], changed)
        for write_number in (3, 4):
            self.directory.put(attrs.evolve(entry("a"), write_number=write_number))
        self.assertEqual(["a"] * 3, changed)

    def test_upstream_that_leaves_is_not_ready_again_until_it_starts_again(self):
        """Guards against work for a leaving upstream that an outdated entry lists as ready."""
        self.directory.put(entry("a", started_at_ms=1_000))
        self.assertTrue(self.directory.mark_leaving(UpstreamId("a"), 1_000))
        self.assertFalse(self.directory.mark_leaving(UpstreamId("a"), 1_000))
        self.assertEqual([], self.ready())
        self.directory.put(entry("a", started_at_ms=1_000))
        self.assertEqual([], self.ready())
        self.directory.remove(UpstreamId("a"))
        self.directory.put(entry("a", started_at_ms=1_000))
        self.assertEqual([], self.ready())
        self.directory.put(entry("a", started_at_ms=2_000))
        self.assertEqual(["a"], self.ready())

    def test_notice_of_an_earlier_start_does_not_stop_the_present_one(self):
        """Guards against a restarted upstream that never gets work, as it left once."""
        self.directory.put(entry("a", started_at_ms=2_000))
        self.directory.mark_leaving(UpstreamId("a"), 1_000)
        self.assertEqual(["a"], self.ready())

    def test_upstream_without_a_start_takes_work_again_after_its_removal(self):
        """Guards against an upstream that never gets work again, as its starts look the same."""
        self.directory.put(entry("a"))
        self.directory.mark_leaving(UpstreamId("a"), 0)
        self.assertEqual([], self.ready())
        self.directory.remove(UpstreamId("a"))
        self.directory.put(entry("a"))
        self.assertEqual(["a"], self.ready())

    def test_lapsed_entry_stays_for_the_grace_period(self):
        """Guards against a service without upstreams after an outage of the store."""
        self.directory.put(entry("a"))
        self.directory.remove(UpstreamId("a"), kept_until_ms=self.clock.now_ms() + KEPT_MS)
        self.clock.advance_ms(KEPT_MS - 1)
        self.directory.remove_expired()
        self.assertEqual(["a"], self.ready())
        self.clock.advance_ms(2)
        self.directory.remove_expired()
        self.assertEqual([], self.ready())

    def test_entry_that_is_listed_again_stays(self):
        """Guards against the removal of an upstream that is listed again after an outage."""
        self.directory.put(entry("a"))
        self.directory.remove(UpstreamId("a"), kept_until_ms=self.clock.now_ms() + KEPT_MS)
        self.directory.put(entry("a"))
        self.clock.advance_ms(KEPT_MS + 1)
        self.directory.remove_expired()
        self.assertEqual(["a"], self.ready())

    def test_newest_process_has_the_address(self):
        """Guards against requests that name the predecessor of an upstream at the same address."""
        self.directory.put(entry("old", started_at_ms=1))
        self.directory.put(entry("new", started_at_ms=2))
        self.assertEqual("new", self.directory.find_by_address("10.0.0.1", 80).upstream_id)

    def test_complete_listing_removes_what_it_lacks(self):
        """Guards against removed upstreams that stay listed after missed change events."""
        self.directory.put(entry("a"))
        self.directory.replace([entry("b", host="10.0.0.2")])
        self.assertEqual(["b"], self.ready())
        self.assertEqual({"10.0.0.2"}, self.directory.hosts())

    def test_changes_are_published(self):
        """Guards against subscribers that keep using an outdated entry."""
        published = []
        self.directory.changes.subscribe(published.append)
        self.directory.put(entry("a"))
        self.directory.put(entry("a"))
        self.directory.remove(UpstreamId("a"))
        self.assertEqual(["a", "a"], published)
