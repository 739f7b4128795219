"""Encode the query of an HTTP request."""

from urllib.parse import quote, urlencode


def encode_query(query: dict[str, str]) -> str:
    """Return the query component of a URL (RFC 3986).

    A blank becomes %20, since a plus sign stands for it in forms only. Lone surrogates, as JSON
    allows, become the three bytes of their UTF-8 form.

    Args:
        query: Values by name.
    """
    return urlencode(query, quote_via=quote, safe="", errors="surrogatepass")
