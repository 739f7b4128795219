"""Parse and check request heads, and filter the header fields that are forwarded."""

import re
from collections.abc import Iterable
from urllib.parse import unquote

import attrs

from ..errors import Refused
from ..ids import KeyId, RefusalReason
from ..transport.http_names import HOP_BY_HOP
from ..transport.http_names import REQUEST_ID as REQUEST_ID

DEADLINE_MS = "Gentian-Deadline-Ms"
CONTEXT = "Gentian-Context"
REFUSAL = "Gentian-Refusal"
NOT_RUN = "Gentian-Not-Run"
OUTCOME = "Gentian-Outcome"
RETRY_AFTER_MS = "Retry-After-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"
CONTENT_LENGTH = "Content-Length"

# Prefix of every API key. It is reserved: a head that contains it anywhere but in one bearer
# `Authorization` field is refused, even if what follows is not a complete key.
KEY_PREFIX = "gtk_"

# Passes of the search for a key in a text; each pass removes one layer of percent-encoding. A text
# that the last pass still changes is refused.
UNQUOTE_LIMIT = 4

IDEMPOTENCY_KEY_LIMIT_BYTES = 200

_NODE_HEADER_PREFIX = "gentian-"
_NOT_FORWARDED = HOP_BY_HOP | {"authorization", "expect", "content-length"}
_BEARER = re.compile(r"bearer +(gtk_([0-9A-Za-z.-]+)_[0-9A-Za-z_-]+) *", re.IGNORECASE)
_DURATION = re.compile(r"\d{1,12}(\.\d{1,6})?")

HeaderFields = tuple[tuple[str, str], ...]


@attrs.frozen
class ParsedHead:
    """Store the parts of a request head that the node needs.

    Attributes:
        path: Path without the query, as received.
        key: API key of the organisation, or None.
        key_id: The id within the key, or None.
        context: Value of the `Gentian-Context` field, or None.
        deadline_ms: Remaining time stated by the caller, or None.
        idempotency_key: Value of the `Idempotency-Key` field, or None.
        headers: Header fields that are forwarded to the target.
    """

    path: str
    key: str | None
    key_id: KeyId | None
    context: str | None
    deadline_ms: float | None
    idempotency_key: str | None
    headers: HeaderFields


def parse_head(target: str, headers: Iterable[tuple[str, str]]) -> ParsedHead:
    """Parse a request head and remove the fields that the target must not get.

    Args:
        target: Request target (path and query) as received.
        headers: Header fields in order.

    Raises:
        Refused: The head has a key in a wrong place, or is malformed or ambiguous.
    """
    path = _check_target(target)
    forwarded: list[tuple[str, str]] = []
    single_fields: dict[str, str] = {}
    connection_options: str | None = None
    for pair in headers:
        name = pair[0].lower()
        value = pair[1]
        if not value.isascii():
            _check_encoding(value)
        if name == "authorization":
            _store_single_field(single_fields, name, value)
            continue
        if "%" in value or KEY_PREFIX in value.lower() or KEY_PREFIX in name:
            _check_no_key(value)
            _check_no_key(name)
        if name in _NOT_FORWARDED:
            if name == "connection":
                connection_options = (
                    value if connection_options is None else f"{connection_options},{value}"
                )
            elif name in ("content-length", "transfer-encoding"):
                _store_single_field(single_fields, name, value)
        elif name.startswith(_NODE_HEADER_PREFIX):
            _store_single_field(single_fields, name, value)
        else:
            if name == "idempotency-key":
                _store_single_field(single_fields, name, value)
            forwarded.append(pair)
    _check_framing(single_fields)
    if connection_options is not None and connection_options.lower() not in ("keep-alive", "close"):
        forwarded = _without_connection_options(forwarded, connection_options)
    key, key_id = _parse_key(single_fields.get("authorization"))
    return ParsedHead(
        path,
        key,
        key_id,
        single_fields.get("gentian-context"),
        _parse_duration(single_fields.get("gentian-deadline-ms")),
        _parse_idempotency_key(single_fields.get("idempotency-key")),
        tuple(forwarded),
    )


def answer_headers(headers: Iterable[tuple[str, str]]) -> HeaderFields:
    """Return the header fields of a target's answer that are forwarded to the caller."""
    kept: list[tuple[str, str]] = []
    connection_options: str | None = None
    for pair in headers:
        name = pair[0].lower()
        if name in HOP_BY_HOP:
            if name == "connection":
                connection_options = (
                    pair[1] if connection_options is None else f"{connection_options},{pair[1]}"
                )
        elif not name.startswith(_NODE_HEADER_PREFIX):
            kept.append(pair)
    if connection_options is not None and connection_options.lower() not in ("keep-alive", "close"):
        kept = _without_connection_options(kept, connection_options)
    return tuple(kept)


def _invalid_header() -> Refused:
    return Refused(RefusalReason.HEADER_INVALID, not_run=True)


def _store_single_field(single_fields: dict[str, str], name: str, value: str) -> None:
    if name in single_fields:
        if KEY_PREFIX in value.lower() or KEY_PREFIX in single_fields[name].lower():
            raise Refused(RefusalReason.KEY_MISPLACED, not_run=True)
        raise _invalid_header()
    single_fields[name] = value


def _check_encoding(value: str) -> None:
    try:
        value.encode()
    except UnicodeEncodeError:
        raise _invalid_header() from None


def _check_no_key(value: str) -> None:
    """Refuse a text that contains a key, plain or percent-encoded."""
    for _ in range(UNQUOTE_LIMIT):
        if KEY_PREFIX in value.lower():
            raise Refused(RefusalReason.KEY_MISPLACED, not_run=True)
        decoded = unquote(value)
        if decoded == value:
            return
        value = decoded
    raise _invalid_header()


def _check_target(target: str) -> str:
    """Check a request target and return its path."""
    if not target.startswith("/") or not target.isascii() or "#" in target:
        raise _invalid_header()
    if "%" in target or KEY_PREFIX in target.lower():
        _check_no_key(target)
    path = target.partition("?")[0]
    # A target that resolves dot segments would serve another path than the one whose route was
    # checked.
    if "/." in path or "%" in path or "\\" in path or "//" in path:
        decoded = unquote(path).replace("\\", "/")
        segments = decoded.split("/")
        if "." in segments or ".." in segments or "//" in decoded:
            raise _invalid_header()
    return path


def _check_framing(single_fields: dict[str, str]) -> None:
    """Refuse heads whose body length is ambiguous, which would allow request smuggling."""
    length = single_fields.get("content-length")
    transfer_coding = single_fields.get("transfer-encoding")
    if length is not None and (transfer_coding is not None or not length.isdigit()):
        raise _invalid_header()
    if transfer_coding is not None and transfer_coding.strip().lower() != "chunked":
        raise _invalid_header()


def _without_connection_options(
    pairs: list[tuple[str, str]], connection_options: str
) -> list[tuple[str, str]]:
    names = {name.strip().lower() for name in connection_options.split(",")}
    return [pair for pair in pairs if pair[0].lower() not in names]


def _parse_key(authorization: str | None) -> tuple[str | None, KeyId | None]:
    if authorization is None:
        return None, None
    match = _BEARER.fullmatch(authorization)
    if match is not None:
        return match.group(1), KeyId(match.group(2))
    _check_no_key(authorization)
    return None, None


def _parse_duration(text: str | None) -> float | None:
    if text is None:
        return None
    if not _DURATION.fullmatch(text):
        raise _invalid_header()
    return float(text)


def _parse_idempotency_key(text: str | None) -> str | None:
    if text is None:
        return None
    if not text or len(text) > IDEMPOTENCY_KEY_LIMIT_BYTES or not text.isascii():
        raise _invalid_header()
    return text
