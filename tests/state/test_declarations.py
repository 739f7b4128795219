import math
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianthread.errors import DeclarationErrors, FieldError
from gentianthread.ids import Priority
from gentianthread.state.declarations import read_folder, read_texts
from gentianthread.state.profiles import built_in, built_in_profiles

from ..base import TestCase
from ..declaration_texts import SMALL, small_with

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"


class TestReadTexts(TestCase):
    def errors(self, text: str) -> list[FieldError]:
        return self.assertRaises(DeclarationErrors, read_texts, {"a.ini": text}).errors

    def assert_one_error(self, text: str, section: str, field: str) -> FieldError:
        found = self.errors(text)
        self.assertEqual([("a.ini", section, field)], [(e.file, e.section, e.field) for e in found])
        self.assertTrue(found[0].expected)
        return found[0]

    def test_small_declarations(self):
        """Guards against a field that is stored in the wrong attribute of the plan."""
        plan = read_texts({"a.ini": SMALL}, version=7)
        self.assertEqual(7, plan.version)
        self.assertEqual(Priority.CRITICAL, plan.routes["place-order"].priority)
        self.assertEqual(3000, plan.routes["place-order"].deadline_ms)
        self.assertEqual(5, plan.links[0].delay_ms)
        self.assertEqual(400, plan.organisations["alpha"].rate_per_s)
        self.assertEqual(bytes.fromhex("ab" * 32), plan.keys["alpha1"].digest)

    def test_profile_starts_from_its_base(self):
        """Guards against a declared profile that loses the values of the one it is based on."""
        profile = read_texts({"a.ini": SMALL}).profile_of("orders")
        self.assertEqual(40, profile.queue_target_ms)
        self.assertEqual(built_in("exactly-once").queue_limit, profile.queue_limit)

    def test_route_without_deadline_takes_the_one_of_the_profile(self):
        """Guards against requests that have no deadline."""
        plan = read_texts({"a.ini": SMALL})
        self.assertEqual(built_in("lookup").deadline_ms, plan.routes["stock"].deadline_ms)

    def test_all_errors_are_reported_together(self):
        """Guards against checks that report only the first error."""
        text = small_with("rate = 400/s", "rate = 400").replace("slots = 30", "slots = -1")
        text = text.replace("profile = careful", "profile = carefull")
        places = [(error.section, error.field) for error in self.errors(text)]
        expected = [
            ("organisation alpha", "rate"),
            ("service orders", "profile"),
            ("upstream catalogue-1", "slots"),
        ]
        self.assertEqual(expected, places)

    def test_errors_name_file_and_text(self):
        """Guards against an error message without the place of the error."""
        error = self.assert_one_error(
            small_with("rate = 400/s", "rate = fast"), "organisation alpha", "rate"
        )
        self.assertEqual("fast", error.found)
        self.assertIn("400/s", error.expected)

    def test_wrong_fields(self):
        """Guards against the acceptance of wrong units, ranges, forms and references."""
        cases = {
            ("delay = 5 ms", "delay = 5"): ("link larisa-a volos-a", "delay"),
            ("delay = 5 ms", "delay = 5 h"): ("link larisa-a volos-a", "delay"),
            ("queue_target = 40 ms", "queue_target = 0 ms"): ("profile careful", "queue_target"),
            ("based_on = exactly-once", "based_on = once"): ("profile careful", "based_on"),
            ("queue_target = 40 ms", "limiter = fast"): ("profile careful", "limiter"),
            ("queue_target = 40 ms", "queue_order = any"): ("profile careful", "queue_order"),
            ("queue_target = 40 ms", "chooser = first"): ("profile careful", "chooser"),
            ("rate = 400/s", "rate = 400/min"): ("organisation alpha", "rate"),
            ("rate = 400/s", "rate = 0/s"): ("organisation alpha", "rate"),
            ("burst = 200", "burst = nan"): ("organisation alpha", "burst"),
            ("deadline = 3 s", "deadline = 3000"): ("route place-order", "deadline"),
            ("priority = critical", "priority = urgent"): ("route place-order", "priority"),
            ("method = POST", "method = post"): ("route place-order", "method"),
            ("path = /orders", "path = orders"): ("route place-order", "path"),
            ("path = /orders", "path = /a?b"): ("route place-order", "path"),
            ("idempotent = no", "idempotent = 0"): ("route place-order", "idempotent"),
            ("host = 10.0.0.1", "host = catalogue"): ("upstream catalogue-1", "host"),
            ("slots = 30", "slots = 3.5"): ("upstream catalogue-1", "slots"),
            ("connections = 80", "connections = 0"): ("upstream orders-1", "connections"),
            ("availability_zone = volos-a", "availability_zone = volos"): (
                "upstream orders-1",
                "availability_zone",
            ),
            ("organisation = alpha", "organisation = beta"): ("key alpha1", "organisation"),
            ("digest = 0011", "digest = 11"): ("key alpha1", "digest"),
            ("[link larisa-a volos-a]", "[link larisa-a volos]"): ("link larisa-a volos", "name"),
        }
        for (old, new), (section, field) in cases.items():
            text = small_with(old, new)
            if old.startswith("digest"):
                text = text.replace("ab" * 32, "ab" * 31)
            self.assert_one_error(text, section, field)

    def test_unknown_field(self):
        """Guards against a misspelt field that silently has no effect."""
        error = self.assert_one_error(
            small_with("burst = 200", "burst = 200\nwieght = 2"), "organisation alpha", "wieght"
        )
        self.assertIn("weight", error.expected)

    def test_missing_field(self):
        """Guards against a default for a value that operators must choose."""
        error = self.assert_one_error(
            small_with("idempotent = no\n", ""), "route place-order", "idempotent"
        )
        self.assertIsNone(error.found)

    def test_unknown_section(self):
        """Guards against a section that silently has no effect."""
        self.assert_one_error(SMALL + "[organization beta]\n", "organization beta", "")
        self.assert_one_error(SMALL + "[service]\n", "service", "")
        self.assert_one_error(SMALL + "[link larisa-a]\n", "link larisa-a", "")
        self.assert_one_error("stray = 1\n" + SMALL, "", "")

    def test_invalid_name(self):
        """Guards against key ids that cannot be distinguished from the secret of the key."""
        self.assert_one_error(small_with("[key alpha1]", "[key alpha_1]"), "key alpha_1", "name")

    def test_line_without_value(self):
        """Guards against a file that cannot be parsed and ends the check with a traceback."""
        self.assert_one_error(
            small_with("burst = 200", "burst = 200\nweight"), "organisation alpha", ""
        )

    def test_duplicate_section(self):
        """Guards against a later section that silently replaces an earlier one."""
        duplicate = "[organisation alpha]\nrate = 1/s\nburst = 1\n"
        self.assert_one_error(SMALL + duplicate, "organisation alpha", "name")
        errors = self.assertRaises(
            DeclarationErrors, read_texts, {"a.ini": SMALL, "b.ini": duplicate}
        ).errors
        self.assertEqual([("b.ini", "name")], [(error.file, error.field) for error in errors])
        self.assertIn("a.ini", errors[0].expected)

    def test_duplicate_field(self):
        """Guards against a field that is set twice with different values."""
        self.assert_one_error(
            small_with("burst = 200", "burst = 200\nburst = 300"), "organisation alpha", "burst"
        )

    def test_duplicate_route_and_address(self):
        """Guards against two routes of one path, or two listeners of one address."""
        self.assert_one_error(
            SMALL
            + "[route other]\nservice = orders\nmethod = POST\npath = /orders/\nidempotent = no\n"
            "priority = normal\n",
            "route place-order",
            "path",
        )
        self.assert_one_error(
            small_with(
                "caller_port = 7000\ntarget_port = 8000\nslots = 10",
                "caller_port = 7000\ntarget_port = 7000\nslots = 10",
            ),
            "upstream orders-1",
            "target_port",
        )

    def test_built_in_profile_cannot_be_declared(self):
        """Guards against a declared profile that replaces a built-in one in some deployments."""
        self.assert_one_error(SMALL + "[profile lookup]\n", "profile lookup", "name")

    def test_reserved_organisation(self):
        """Guards against an organisation that shares its rate with anonymous requests."""
        self.assert_one_error(
            SMALL + "[organisation anonymous]\nrate = 1/s\nburst = 1\n",
            "organisation anonymous",
            "name",
        )


class TestFractions(TestCase):
    def test_default_is_by_slots(self):
        """Guards against a small upstream that holds as many tokens as a large one."""
        fractions = read_texts({"a.ini": SMALL}).fractions
        self.assertAlmostEqual(0.75, fractions["catalogue-1"])
        self.assertAlmostEqual(0.25, fractions["orders-1"])
        self.assertTrue(math.fsum(fractions.values()) <= 1.0)

    def test_default_is_the_remainder_of_declared_fractions(self):
        """Guards against fractions that sum to more than 1 when only some are declared."""
        plan = read_texts({"a.ini": small_with("slots = 10", "slots = 10\nfraction = 0.4")})
        self.assertEqual({"catalogue-1": 0.6, "orders-1": 0.4}, plan.fractions)

    def test_draining_upstream_gets_no_fraction(self):
        """Guards against a fraction that is lost because its upstream is stopped."""
        text = small_with("slots = 10", "slots = 10\ndraining = yes")
        self.assertEqual(
            {"catalogue-1": 1.0, "orders-1": 0.0}, read_texts({"a.ini": text}).fractions
        )

    def test_sum_over_one(self):
        """Guards against organisations that get more than their rate over all nodes (P6)."""
        text = small_with("slots = 10", "slots = 10\nfraction = 0.6")
        text = text.replace("slots = 30", "slots = 30\nfraction = 0.6")
        errors = self.assertRaises(DeclarationErrors, read_texts, {"a.ini": text}).errors
        self.assertEqual(["fraction"], [error.field for error in errors])
        self.assertIn("1.2", errors[0].expected)

    def test_default_never_exceeds_one(self):
        """Guards against rounding that raises the sum of many fractions above 1."""
        upstream = SMALL[SMALL.index("[upstream orders-1]") : SMALL.index("[organisation")]
        text = SMALL
        for number in range(2, 90):
            copy = upstream.replace("orders-1", f"orders-{number}")
            text += copy.replace("10.0.0.2", f"10.0.1.{number}").replace("= 10\n", f"= {number}\n")
        fractions = read_texts({"a.ini": text}).fractions
        self.assertTrue(0.999999 < math.fsum(fractions.values()) <= 1.0)


class TestReadFolder(TestCase):
    def test_examples_are_complete(self):
        """Guards against examples that a change of the rules makes invalid."""
        mandalaki = read_folder(EXAMPLES / "mandalaki")
        lakeshore = read_folder(EXAMPLES / "lakeshore")
        self.assertEqual(4, len(mandalaki.availability_zones))
        self.assertEqual((17, 8), (len(mandalaki.upstreams), len(mandalaki.organisations)))
        self.assertEqual(6, len(mandalaki.links))
        self.assertEqual(3, len(lakeshore.availability_zones))
        self.assertEqual((13, 8), (len(lakeshore.upstreams), len(lakeshore.organisations)))

    def test_example_capacities(self):
        """Guards against examples that differ from the deployments of the design page."""
        expected = {
            "mandalaki": {
                "catalogue": (5, 50, 400),
                "orders": (4, 60, 470),
                "drawings": (4, 60, 470),
                "pricing": (4, 15, 200),
            },
            "lakeshore": {
                "hourlog": (4, 300, 1900),
                "orderdesk": (3, 400, 2500),
                "manualvault": (3, 400, 2500),
                "dispatch": (3, 60, 450),
            },
        }
        for deployment, services in expected.items():
            plan = read_folder(EXAMPLES / deployment)
            found = {
                name: (len(group), group[0].slots, group[0].connections)
                for name, group in plan.upstreams_by_service.items()
            }
            self.assertEqual(services, found)

    def test_folder_without_files(self):
        """Guards against a mistyped path that is read as empty declarations."""
        error = self.assertRaises(DeclarationErrors, read_folder, EXAMPLES / "nowhere")
        self.assertEqual(1, len(error.errors))


class TestProfiles(TestCase):
    def test_built_in_names(self):
        """Guards against a built-in profile that is missing or has another name inside."""
        self.assertEqual(
            ["download", "exactly-once", "lookup", "scarce"], built_in_profiles.names()
        )
        for name in built_in_profiles:
            self.assertEqual(name, built_in(name).profile_id)

    def test_exactly_once_is_never_hedged(self):
        """Guards against a booking that is sent twice on purpose (P9)."""
        self.assertFalse(built_in("exactly-once").hedging)


class TestAnyText(TestCase):
    @given(
        st.integers(min_value=0, max_value=len(SMALL)),
        st.text(alphabet="[]=#;: \n\tabz09/é\0", max_size=12),
    )
    @settings(max_examples=300, derandomize=True, database=None)
    def test_damaged_text_gives_a_plan_or_field_errors(self, place, replacement):
        """Guards against a typing error that ends the check with a traceback, not field errors."""
        try:
            read_texts({"a.ini": SMALL[:place] + replacement + SMALL[place + len(replacement) :]})
        except DeclarationErrors as errors:
            self.assertTrue(errors.errors)
