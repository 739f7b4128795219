from gentianthread.transport.header_fields import (
    MAX_CACHED_NAME_BYTES,
    HeaderFields,
    _decode_name_cached,
)

from ..base import TestCase


class TestHeaderFields(TestCase):
    def test_repeated_fields_stay_in_order_and_the_first_is_found(self):
        """Guards against header fields that are lost, merged or reordered."""
        fields = HeaderFields()
        for name, value in ((b"X-Tag", b"1"), (b"Host", b"a"), (b"x-tag", b"2")):
            fields.add(name, value)
        self.assertEqual([("X-Tag", "1"), ("Host", "a"), ("x-tag", "2")], fields.pairs)
        self.assertEqual({"x-tag": "1", "host": "a"}, fields.first)
        self.assertEqual([("Host", "a")], fields.without({"x-tag"}))

    def test_bytes_that_are_no_text_come_back_unchanged(self):
        """Guards against values that a node changes when it forwards them."""
        fields = HeaderFields()
        fields.add(b"X-\xff", b"\x80\xfe")
        name, value = fields.pairs[0]
        self.assertEqual(b"X-\xff", name.encode("utf-8", "surrogateescape"))
        self.assertEqual(b"\x80\xfe", value.encode("utf-8", "surrogateescape"))

    def test_blanks_around_a_value_are_no_part_of_it(self):
        """Guards against an answer that is ignored for a blank behind the id that it names."""
        fields = HeaderFields()
        fields.add(b"Request-Id", b"a b \t")
        self.assertEqual([("Request-Id", "a b")], fields.pairs)
        self.assertEqual({"request-id": "a b"}, fields.first)

    def test_made_up_names_do_not_fill_the_memory(self):
        """Guards against a caller that sends many different or very long field names."""
        fields = HeaderFields()
        for number in range(2_000):
            fields.add(b"X-%d" % number, b"1")
        cache = _decode_name_cached.cache_info()
        self.assertEqual(cache.maxsize, cache.currsize)
        misses = cache.misses
        fields.add(b"X" * (MAX_CACHED_NAME_BYTES + 1), b"1")
        self.assertEqual(misses, _decode_name_cached.cache_info().misses)
