from urllib.parse import quote

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianthread.errors import Refused
from gentianthread.ids import RefusalReason
from gentianthread.protocol.headers import answer_headers, parse_head

from ..base import TestCase

KEY = f"gtk_alpha1_{'s' * 43}"
BEARER = ("Authorization", f"Bearer {KEY}")

TOKEN = st.text("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_", min_size=1)
VALUE = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=40)
CASES = settings(derandomize=True, max_examples=300, deadline=None)


def reason_of(target, *headers):
    try:
        parse_head(target, headers)
    except Refused as refusal:
        assert refusal.not_run
        return refusal.reason
    return None


def encode_all(text):
    return "".join(f"%{ord(character):02x}" for character in text)


class TestParseHead(TestCase):
    def test_key_is_parsed_and_not_forwarded(self):
        """Guards against a key that is forwarded to the target (P4)."""
        parsed = parse_head("/a?b=c", [BEARER, ("Accept", "x"), ("Gentian-Deadline-Ms", "12.5")])
        self.assertEqual((KEY, "alpha1", 12.5), (parsed.key, parsed.key_id, parsed.deadline_ms))
        self.assertEqual((("Accept", "x"),), parsed.headers)

    def test_other_schemes_are_removed(self):
        """Guards against credentials of other schemes that reach a target."""
        parsed = parse_head("/a", [("authorization", "Basic YWxwaGE6c2VjcmV0")])
        self.assertEqual(((), None), (parsed.headers, parsed.key))

    @CASES
    @given(name=TOKEN, before=VALUE, after=VALUE, encodings=st.integers(0, 5))
    def test_key_in_any_other_header_is_refused(self, name, before, after, encodings):
        """Guards against a key in a header value, plain or percent-encoded."""
        hidden = KEY
        for _ in range(encodings):
            hidden = quote(hidden, safe="") if encodings % 2 else encode_all(hidden)
        if name.lower() == "authorization":
            return
        expected = (RefusalReason.KEY_MISPLACED, RefusalReason.HEADER_INVALID)
        self.assertIn(reason_of("/a", BEARER, (name, f"{before}{hidden}{after}")), expected)
        self.assertIn(reason_of(f"/a/{hidden}", BEARER), expected)
        self.assertIn(reason_of(f"/a?x={hidden}&y", BEARER), expected)

    def test_key_in_other_places_of_the_head(self):
        """Guards against keys in names, in a second field and in another scheme."""
        places = (
            ("/a", ("X-gtk_alpha1_x", "1")),
            ("/a", BEARER, BEARER),
            ("/a", ("Authorization", f"Basic {KEY}")),
            ("/a", ("Authorization", f"Bearer {KEY} {KEY}")),
            ("/a", ("Authorization", f"Bearer {KEY.upper()}")),
            ("/a", ("Cookie", f"a=b; k={KEY}")),
            ("/a", ("Connection", KEY)),
            ("/a", ("Gentian-Request-Id", KEY)),
            ("/a", ("Idempotency-Key", KEY)),
            ("/GTK_alpha1_x",),
        )
        for target, *headers in places:
            reason = reason_of(target, *headers)
            if headers and headers[0][1].endswith(KEY.upper()):
                self.assertIsNone(reason)  # In its proper place, though not a known key.
            else:
                self.assertIs(RefusalReason.KEY_MISPLACED, reason, headers)

    def test_ambiguous_framing_is_refused(self):
        """Guards against request smuggling."""
        bad = (
            (("Content-Length", "3"), ("Content-Length", "4")),
            (("Content-Length", "3"), ("Content-Length", "3")),
            (("Content-Length", "3"), ("Transfer-Encoding", "chunked")),
            (("Content-Length", "+3"),),
            (("Content-Length", "3, 3"),),
            (("Transfer-Encoding", "gzip, chunked"),),
            (("Transfer-Encoding", "identity"),),
            (("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "chunked")),
        )
        for headers in bad:
            self.assertIs(RefusalReason.HEADER_INVALID, reason_of("/a", *headers))

    def test_paths_that_a_target_could_resolve_elsewhere_are_refused(self):
        """Guards against a path of a closed route that is reached through an open route (P3)."""
        for target in (
            "/open/../orders",
            "/open/%2e%2E/orders",
            "/open/.%2e/orders",
            "/open%2f..%2forders",
            "/open/..%5corders",
            "/open\\..\\orders",
            "/open//orders",
            "/./orders",
            "http://node/orders",
            "*",
            "/orders#x",
        ):
            self.assertIs(RefusalReason.HEADER_INVALID, reason_of(target), target)
        for target in ("/a.b/c..d?x=../..", "/a%20b", "/", "/a/?b//c"):
            self.assertIsNone(reason_of(target), target)

    def test_hop_by_hop_fields_and_connection_options_are_removed(self):
        """Guards against fields of one connection that are forwarded over another."""
        headers = [
            ("Connection", "keep-alive, X-One"),
            ("connection", "x-two"),
            ("X-One", "1"),
            ("X-Two", "2"),
            ("X-Three", "3"),
            ("TE", "trailers"),
            ("Trailer", "x"),
            ("Upgrade", "h2c"),
            ("Proxy-Authorization", "x"),
            ("Expect", "100-continue"),
            ("Gentian-Anything", "x"),
        ]
        self.assertEqual((("X-Three", "3"),), parse_head("/a", headers).headers)
        self.assertEqual(
            (("X-Three", "3"), ("Content-Length", "3")),
            answer_headers([*headers[:9], headers[10], ("Content-Length", "3")]),
        )

    @CASES
    @given(text=st.text(max_size=15))
    def test_deadlines_are_numbers_or_refused(self, text):
        """Guards against deadlines that are not finite numbers, such as `nan` or `1e999`."""
        try:
            parsed = parse_head("/a", [("Gentian-Deadline-Ms", text)])
        except Refused as refusal:
            self.assertIs(RefusalReason.HEADER_INVALID, refusal.reason)
        else:
            self.assertTrue(0 <= parsed.deadline_ms < 1e12)
