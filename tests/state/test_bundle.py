import hashlib

import attrs
import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianthread.errors import BundleError
from gentianthread.state.bundle import (
    FORMAT,
    HEAD_KEY,
    PART_LIMIT_BYTES,
    Bundle,
    decode_head,
    decode_plan,
    encode_head,
    join_parts,
    make_bundle,
    make_published_values,
)
from gentianthread.state.declarations import read_texts
from gentianthread.state.plan_diff import compare_plans

from ..base import TestCase
from ..declaration_texts import SMALL
from ..plans import small_plan

PLAN = read_texts({"a.ini": SMALL}, version=7)
BUNDLE = make_bundle(PLAN)


def bundle_with_digest(payload: bytes, version: int = 7) -> Bundle:
    """Return a bundle whose digest matches a changed payload."""
    return Bundle(version, hashlib.sha256(payload).digest(), payload)


def content() -> list:
    return cbor2.loads(BUNDLE.payload)


class TestBundle(TestCase):
    def test_round_trip(self):
        """Guards against a field that changes on publication."""
        decoded = decode_plan(BUNDLE)
        self.assertEqual((), compare_plans(PLAN, decoded).changes)
        self.assertEqual(dict(PLAN.fractions), dict(decoded.fractions))
        self.assertEqual(PLAN.keys, decoded.keys)
        self.assertEqual(PLAN.links, decoded.links)
        self.assertEqual(7, decoded.version)

    def test_order_does_not_matter(self):
        """Guards against equal plans whose digests differ, which nodes would refuse."""
        reversed_plan = attrs.evolve(
            PLAN,
            upstreams=dict(reversed(PLAN.upstreams.items())),
            routes=dict(reversed(PLAN.routes.items())),
            availability_zones=PLAN.availability_zones[::-1],
        )
        self.assertEqual(BUNDLE, make_bundle(reversed_plan))

    def test_integers_count_as_floats(self):
        """Guards against a rate of 400 and one of 400.0 that give two digests."""
        changed = attrs.evolve(PLAN.organisations["alpha"], rate_per_s=400, burst=200)
        with_integers = make_bundle(attrs.evolve(PLAN, organisations={"alpha": changed}))
        self.assertEqual(BUNDLE.digest, with_integers.digest)

    def test_parts_are_small_enough(self):
        """Guards against a value that the platform refuses because it is too large."""
        plan = small_plan(services=("c" * 50,), upstreams_per_service=9000, first_port=1)
        upstreams = {
            name: attrs.evolve(
                upstream,
                host=f"10.{n // 250}.{n % 250}.1",
                peer_port=1,
                caller_port=2,
                target_port=3,
            )
            for n, (name, upstream) in enumerate(plan.upstreams.items())
        }
        bundle = make_bundle(attrs.evolve(plan, upstreams=upstreams))
        values = make_published_values(bundle)
        self.assertTrue(bundle.part_count > 1)
        self.assertTrue(all(len(value) <= PART_LIMIT_BYTES for value in values.values()))
        self.assertEqual(HEAD_KEY, list(values)[-1])
        head = decode_head(values.pop(HEAD_KEY))
        self.assertEqual(bundle, join_parts(head, list(values.values())))

    def test_missing_part(self):
        """Guards against the acceptance of an incomplete bundle."""
        self.assertRaises(BundleError, join_parts, BUNDLE.head, [])

    def test_wrong_digest(self):
        """Guards against the acceptance of damaged content."""
        damaged = attrs.evolve(BUNDLE, payload=BUNDLE.payload[:-1] + b"\1")
        self.assertRaises(BundleError, decode_plan, damaged)

    def test_version_of_the_content_is_checked(self):
        """Guards against old content under a new version number."""
        self.assertRaises(BundleError, decode_plan, attrs.evolve(BUNDLE, version=8))

    def test_unknown_format(self):
        """Guards against content of a later format that is misread."""
        payload = cbor2.dumps([FORMAT + 1, *content()[1:]], canonical=True)
        self.assertRaises(BundleError, decode_plan, bundle_with_digest(payload))

    def test_other_encoding_of_the_same_plan(self):
        """Guards against one plan with two digests, which would count as a conflict."""
        items = content()
        not_canonical = cbor2.dumps(items)
        self.assertNotEqual(BUNDLE.payload, not_canonical)
        self.assertRaises(BundleError, decode_plan, bundle_with_digest(not_canonical))

    def test_rules_apply_to_published_content(self):
        """Guards against a bundle of another program with values out of range."""
        items = content()
        items[2][8] = {"catalogue-1": 0.9, "orders-1": 0.9}
        error = self.assertRaises(
            BundleError, decode_plan, bundle_with_digest(cbor2.dumps(items, canonical=True))
        )
        self.assertIn("fraction", error.part)

    def test_unknown_implementation(self):
        """Guards against a plan in force that names an implementation which the node lacks."""
        for field, name in (("limiter", "gradiant"), ("queue_order", "x"), ("chooser", "x")):
            profiles = {
                profile_id: attrs.evolve(profile, **{field: name})
                for profile_id, profile in PLAN.profiles.items()
            }
            bundle = make_bundle(attrs.evolve(PLAN, profiles=profiles))
            error = self.assertRaises(BundleError, decode_plan, bundle)
            self.assertIn(field, str(error))

    def test_dangling_reference(self):
        """Guards against a look-up that fails when a request arrives."""
        items = content()
        items[2][3] = []
        self.assertRaises(
            BundleError, decode_plan, bundle_with_digest(cbor2.dumps(items, canonical=True))
        )

    @given(st.binary(max_size=200))
    @settings(max_examples=300, derandomize=True, database=None)
    def test_any_bytes_give_a_typed_error(self, data):
        """Guards against a published value that ends the process."""
        for decode in (decode_head, lambda data: decode_plan(bundle_with_digest(data))):
            try:
                decode(data)
            except BundleError:
                pass

    @given(
        st.integers(min_value=0, max_value=len(BUNDLE.payload)),
        st.binary(min_size=1, max_size=4),
    )
    @settings(max_examples=500, derandomize=True, database=None)
    def test_damaged_content_gives_a_plan_or_a_typed_error(self, place, replacement):
        """Guards against content with a matching digest that raises an untyped error."""
        payload = BUNDLE.payload[:place] + replacement + BUNDLE.payload[place + len(replacement) :]
        try:
            plan = decode_plan(bundle_with_digest(payload))
        except BundleError:
            return
        self.assertEqual(payload, make_bundle(plan).payload)

    @given(st.data())
    @settings(max_examples=300, derandomize=True, database=None)
    def test_replaced_item_gives_a_plan_or_a_typed_error(self, data):
        """Guards against an item of another type deep in the content."""
        items = content()
        target = items
        while True:
            index = data.draw(st.integers(0, len(target) - 1))
            if not isinstance(target[index], list) or not target[index] or data.draw(st.booleans()):
                break
            target = target[index]
        target[index] = data.draw(
            st.one_of(
                st.none(),
                st.booleans(),
                st.integers(),
                st.floats(),
                st.text(max_size=5),
                st.binary(max_size=5),
                st.lists(st.integers(), max_size=3),
                st.dictionaries(st.text(max_size=3), st.floats(), max_size=2),
            )
        )
        try:
            decode_plan(bundle_with_digest(cbor2.dumps(items, canonical=True)))
        except BundleError:
            pass

    def test_head_round_trip(self):
        """Guards against a head that identifies another bundle after publication."""
        self.assertEqual(BUNDLE.head, decode_head(encode_head(BUNDLE.head)))

    def test_head_bounds(self):
        """Guards against a head that makes a node read an unbounded number of parts."""
        for items in (
            [FORMAT, 0, bytes(32), 1],
            [FORMAT, 1, bytes(31), 1],
            [FORMAT, 1, bytes(32), 0],
            [FORMAT, 1, bytes(32), 10**6],
            [FORMAT, 2**70, bytes(32), 1],
            [FORMAT + 1, 1, bytes(32), 1],
        ):
            self.assertRaises(BundleError, decode_head, cbor2.dumps(items))
