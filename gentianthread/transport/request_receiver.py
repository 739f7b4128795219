"""Collect the parts of the requests of a caller as the parser reports them."""

from collections.abc import Callable

from httptools import HttpParserUpgrade, HttpRequestParser

from ..errors import GentianError
from ..state.fleet_plan import CallerLimits
from ..state.memory_budget import FIELD_BYTES, TEXT_BYTES_PER_BYTE
from .header_fields import HeaderFields
from .http_messages import head_without_upgrade

# Memory of a request or a response beside its text and body.
MESSAGE_BYTES = 2_048

# Header field with which a caller waits for permission to send its body (RFC 9110, section 10.1.1).
_EXPECT_FIELD = b"expect"


class LimitExceeded(GentianError):
    """Report a request that exceeds a limit; it becomes the context of the parser's error."""

    def __init__(self, status: int):
        self.status = status
        super().__init__()


class RequestReceiver:
    """Collect one request after the other, within the limits for callers.

    The parser calls `on_headers_complete` and `on_message_complete`, which subclasses define.
    """

    def __init__(self, read_limits: Callable[[], CallerLimits]):
        """Create a receiver that has received nothing.

        Args:
            read_limits: Returns the current limits for callers.
        """
        self._read_limits = read_limits
        self._limits = read_limits()
        self._parser = HttpRequestParser(self)
        self._closing = False
        # The request that is being received.
        self._target = b""
        self._fields = HeaderFields()
        self._body = bytearray()
        self._head_bytes = 0
        self._raw_head_bytes = 0
        self._in_body = False
        self._expects_continue = False
        # Whether the parser reads the head of a request with an Upgrade field again.
        self._replaying = False

    def _feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises:
            HttpParserError: They are not HTTP, or a limit is exceeded; `LimitExceeded` is then its
                context.
        """
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as upgrade:
            self._feed_without_upgrade(data[upgrade.args[0] :])

    def _feed_without_upgrade(self, data: bytes) -> None:
        """Parse the bytes after a head with an Upgrade field, which is not supported.

        The library takes them for another protocol, the body of the request included.
        """
        while not self._closing:
            head = head_without_upgrade(self._parser, self._fields)
            self._parser, self._replaying = HttpRequestParser(self), True
            self._parser.feed_data(head)
            self._replaying = False
            try:
                self._parser.feed_data(data)
            except HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
            else:
                return

    def on_message_begin(self) -> None:
        """Start a request with the current limits."""
        if self._replaying:
            return
        self._limits = self._read_limits()
        self._target, self._fields = b"", HeaderFields()
        self._head_bytes = self._raw_head_bytes = 0
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Append bytes of the path and query."""
        if self._replaying:
            return
        self._target += url
        self._head_bytes += len(url)
        if self._head_bytes > self._limits.header_bytes:
            raise LimitExceeded(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        if self._replaying:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > self._limits.header_bytes:
            raise LimitExceeded(431)
        self._fields.add(name, value)
        if len(name) == len(_EXPECT_FIELD) and name.lower() == _EXPECT_FIELD:
            self._expects_continue = value.lower() == b"100-continue"

    def on_body(self, data: bytes) -> None:
        """Append bytes of the body."""
        # Chunks are not kept apart, as each would be an object of its own.
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            raise LimitExceeded(413)

    def _is_tunnel(self) -> bool:
        return self._parser.get_method() == b"CONNECT"

    def _head_cost_bytes(self) -> int:
        field_count = len(self._fields.pairs)
        return MESSAGE_BYTES + field_count * FIELD_BYTES + self._head_bytes * TEXT_BYTES_PER_BYTE
