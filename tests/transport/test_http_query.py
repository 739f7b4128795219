from urllib.parse import unquote, unquote_plus

from gentianthread.transport.http_query import encode_query

from ..base import TestCase


class TestHttpQuery(TestCase):
    def test_every_decoder_gets_the_same_text(self):
        """Guards against a value whose characters change the query."""
        for text in ("a b", "+", "&a=b", "#", "%20", "%", "ä/\u2028", "\U0001f511", "\n"):
            query = encode_query({"after": text})
            self.assertEqual(f"after={text}", unquote(query))
            self.assertEqual(f"after={text}", unquote_plus(query))
            self.assertEqual(1, query.count("=") - query.count("&"))

    def test_lone_surrogate_is_encoded(self):
        """Guards against a key of a JSON document that no query can carry."""
        self.assertEqual("after=%ED%A0%80", encode_query({"after": "\ud800"}))
