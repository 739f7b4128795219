"""Define the exception hierarchy of the package.

Every error stores its details as attributes and builds its message from them.
"""

from .ids import RefusalReason, UpstreamId


class GentianError(Exception):
    """Serve as the base class of every error that the package raises."""


class ConfigurationError(GentianError):
    """Serve as the base class of errors in settings, declarations and bundles."""


class FieldError(ConfigurationError):
    """Report an invalid field of a settings file or a declaration.

    Attributes:
        file: Name of the file.
        section: Name of the section.
        field: Name of the field.
        found: Text of the field, or None if the field is missing.
        expected: Description of the expected format, with its unit.
    """

    def __init__(self, file: str, section: str, field: str, found: str | None, expected: str):
        self.file = file
        self.section = section
        self.field = field
        self.found = found
        self.expected = expected
        found_text = "missing" if found is None else repr(found)
        location = " ".join(filter(None, (f"[{section}]" if section else "", field)))
        super().__init__(
            ": ".join(filter(None, (file, location, f"{found_text}; expected {expected}")))
        )


class DeclarationErrors(ConfigurationError):
    """Report all field errors of a set of declarations together.

    Attributes:
        errors: The field errors, in file order.
    """

    def __init__(self, errors: list[FieldError]):
        self.errors = errors
        super().__init__("\n".join(str(error) for error in errors))


class BundleError(ConfigurationError):
    """Report a published bundle that cannot be accepted.

    Attributes:
        version: Version stated in the bundle, or None if it could not be read.
        part: The invalid part of the bundle.
        problem: Description of the error.
    """

    def __init__(self, version: int | None, part: str, problem: str):
        self.version = version
        self.part = part
        self.problem = problem
        super().__init__(f"bundle version {version}: {part}: {problem}")


class PublishedVersionError(ConfigurationError):
    """Report a bundle whose version is lower than an existing one, or in use for other content.

    Attributes:
        version: The requested version.
        existing: Version of the bundle in the output folder.
    """

    def __init__(self, version: int, existing: int):
        self.version = version
        self.existing = existing
        super().__init__(f"version {version} cannot be written: version {existing} exists")


class UnknownEntryError(ConfigurationError):
    """Report a name that is not registered.

    Attributes:
        registry: Kind of the registry's entries.
        name: The unknown name.
        known: The registered names.
    """

    def __init__(self, registry: str, name: str, known: list[str]):
        self.registry = registry
        self.name = name
        self.known = known
        super().__init__(f"unknown {registry} {name!r}; known: {', '.join(known)}")


class DocumentError(ConfigurationError):
    """Report an invalid document in the platform's metadata store.

    Attributes:
        key: Key of the document.
        field: The invalid field, or an empty string for the whole document.
        expected: Description of the expected content.
    """

    def __init__(self, key: str, field: str, expected: str):
        self.key = key
        self.field = field
        self.expected = expected
        super().__init__(f"document {key}: {field or 'content'}: expected {expected}")


class ProtocolError(GentianError):
    """Serve as the base class of violations of the protocols between nodes."""


class MessageError(ProtocolError):
    """Report a message that cannot be decoded.

    Attributes:
        message_type: Name or code of the message type, if known.
        problem: Description of the error.
    """

    def __init__(self, message_type: str, problem: str):
        self.message_type = message_type
        self.problem = problem
        super().__init__(f"message {message_type}: {problem}")


class HandshakeError(ProtocolError):
    """Report a peer whose authentication failed.

    Attributes:
        problem: Why it failed.
    """

    def __init__(self, problem: str):
        self.problem = problem
        super().__init__(f"peer handshake failed: {problem}")


class OutdatedProcess(HandshakeError):
    """Report a process that a newer process of the same upstream has superseded.

    Attributes:
        upstream_id: The upstream.
        newest: Start number of the newest authenticated process.
    """

    def __init__(self, upstream_id: str, start_number: int, newest: int):
        self.upstream_id = upstream_id
        self.newest = newest
        super().__init__(f"start number {start_number} of {upstream_id}, newest is {newest}")


class FrameError(ProtocolError):
    """Report a frame that violates the link protocol.

    Attributes:
        problem: Description of the violation.
    """

    def __init__(self, problem: str):
        self.problem = problem
        super().__init__(f"bad frame: {problem}")


class TransportError(GentianError):
    """Serve as the base class of connection and transfer failures."""


class PeerConnectionError(TransportError):
    """Serve as the base class of failures of a single connection.

    Attributes:
        peer: Name or address of the peer.
        problem: Description of the failure.
    """

    # Format string of the error message; its fields are the attributes.
    text: str

    def __init__(self, peer: str, problem: str):
        self.peer = peer
        self.problem = problem
        super().__init__(self.text.format(peer=peer, problem=problem))


class ConnectionLost(PeerConnectionError):
    """Report a connection that was closed, failed or timed out without traffic."""

    text = "connection to {peer} lost: {problem}"


class ConnectionSilent(ConnectionLost):
    """Report a connection on which no data arrived within the timeout.

    Attributes:
        silence_ms: Time since data last arrived.
    """

    def __init__(self, peer: str, silence_ms: float):
        self.silence_ms = silence_ms
        super().__init__(peer, f"silent for {silence_ms:.0f} ms")


class CallerGone(ConnectionLost):
    """Report a caller that closed its connection before its request or answer was complete."""

    def __init__(self, problem: str):
        super().__init__("caller", problem)


class DialError(PeerConnectionError):
    """Report a connection that could not be opened; no byte was sent."""

    text = "no connection to {peer}: {problem}"


class PeerUnreachable(TransportError):
    """Report a peer to which there is no working connection.

    Attributes:
        upstream_id: The upstream whose node is unreachable.
    """

    def __init__(self, upstream_id: UpstreamId):
        self.upstream_id = upstream_id
        super().__init__(f"node of upstream {upstream_id} is unreachable")


class PeerTimeout(TransportError):
    """Report a peer that did not answer in time.

    Attributes:
        upstream_id: The upstream whose node did not answer.
        timeout_ms: Time allowed for the answer.
    """

    def __init__(self, upstream_id: UpstreamId, timeout_ms: float):
        self.upstream_id = upstream_id
        self.timeout_ms = timeout_ms
        super().__init__(f"node of upstream {upstream_id} did not answer within {timeout_ms} ms")


class StreamAborted(TransportError):
    """Report a request stream that ended before its end marker.

    Attributes:
        problem: Why it ended.
    """

    def __init__(self, problem: str):
        self.problem = problem
        super().__init__(f"stream aborted: {problem}")


class KeyInBody(TransportError):
    """Report a request body that contains its caller's key; forwarding stopped before the key."""

    def __init__(self) -> None:
        super().__init__("the request body contains the caller's key")


class PlatformUnavailable(TransportError):
    """Report a platform service that failed or did not answer.

    Attributes:
        operation: The read or watch that failed.
        problem: Description of the failure.
    """

    def __init__(self, operation: str, problem: str):
        self.operation = operation
        self.problem = problem
        super().__init__(f"platform {operation}: {problem}")


class RequestError(GentianError):
    """Serve as the base class of errors that end a caller's request."""


class Refused(RequestError):
    """Report a refused request.

    Attributes:
        reason: The machine-readable reason.
        not_run: True only if no byte of the request can have reached a target.
        retry_after_ms: Time that the caller should wait before a retry, or None.
    """

    def __init__(
        self, reason: RefusalReason, *, not_run: bool, retry_after_ms: float | None = None
    ):
        self.reason = reason
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{reason.value} ({'not run' if not_run else 'outcome unknown'})")


class RateExceeded(Refused):
    """Report a request that exceeds the rate limit and burst of its organisation."""

    def __init__(self, retry_after_ms: float | None = None):
        super().__init__(RefusalReason.RATE_EXCEEDED, not_run=True, retry_after_ms=retry_after_ms)


class NoUpstream(Refused):
    """Report that no upstream of a service is available for the request."""

    def __init__(self, retry_after_ms: float | None = None):
        super().__init__(RefusalReason.NO_UPSTREAM, not_run=True, retry_after_ms=retry_after_ms)
