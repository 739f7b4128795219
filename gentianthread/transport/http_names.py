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

# Statuses that a final response may have; a target in trouble may answer with others.
MIN_FINAL_STATUS, MAX_FINAL_STATUS = 200, 599

# Lowest status of an interim response.
MIN_INTERIM_STATUS = 100

# Statuses of final responses that have no body.
BODILESS_STATUS = frozenset((204, 304))

# Reason phrases by status.
PHRASES = {status.value: status.phrase for status in HTTPStatus}


def is_final_status(status: int) -> bool:
    """Return whether a final response may have a status."""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


def decode_text(data: bytes) -> str:
    """Decode bytes of a head; bytes that are not UTF-8 are restored when the text is encoded."""
    return data.decode("utf-8", "surrogateescape")
