"""Define names of header fields, reason phrases and statuses without a body."""

from http import HTTPStatus

# Id of one attempt, which targets echo in their answers.
REQUEST_ID = "Gentian-Request-Id"

# Fields that apply to a single connection (RFC 9110, section 7.6.1), and the older
# Proxy-Connection.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

# Statuses of final responses that have no body.
BODILESS_STATUS = frozenset((204, 304))

# Reason phrases by status.
PHRASES = {status.value: status.phrase for status in HTTPStatus}


def decode_text(data: bytes) -> str:
    """Decode bytes of a head; bytes that are not UTF-8 are restored when the text is encoded."""
    return data.decode("utf-8", "surrogateescape")
