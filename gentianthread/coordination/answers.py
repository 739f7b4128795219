"""Represent the answer of an attempt, from the local target or another node, and its body."""

import asyncio
from abc import ABC, abstractmethod

from ..clock import Clock
from ..errors import TransportError
from ..ids import Outcome, RefusalReason
from ..protocol.messages_requests import Load, RefusalHead, ResponseHead, ResponseSummary
from ..protocol.streams import Stream
from ..state.work import ShedLevel
from ..transport.http_client import Body

# Timers of the event loop may fire up to this long before the deadline.
DEADLINE_SLACK_MS = 2.0

NO_LOAD = Load(0.0, 0.0, 0, 0)


class Answer(ABC):
    """Store the head of an answer and read its body.

    Attributes:
        head: A `ResponseHead` or a `RefusalHead`.
        used_attempts: Number of lent attempts that were used; None until the answer is complete.
        service_ms: Time that the target took; set when the answer has ended.
        carries_load: Whether the head came from the target's node and reports its load.
    """

    head: ResponseHead | RefusalHead
    service_ms: float = 0.0
    carries_load: bool = True
    used_attempts: int | None = None

    @abstractmethod
    async def read(self) -> bytes | None:
        """Return the next body bytes, or None at the end of a complete answer.

        Raises:
            TransportError: The answer is truncated.
        """

    def receive_rest_nowait(self) -> bytes | None:
        """Return the whole body and end the answer if all of it has arrived; None otherwise.

        This allows a short answer to be sent in one message instead of three.
        """
        return None

    @abstractmethod
    def abort(self, problem: str) -> None:
        """Cancel the rest of the answer; does nothing if it is complete."""


class RefusedAnswer(Answer):
    """Represent a refusal, which has no body."""

    def __init__(self, head: RefusalHead):
        """Create the answer of a refusal."""
        self.head = head
        self.used_attempts = head.used_attempts

    def receive_rest_nowait(self) -> bytes | None:
        """Return no bytes."""
        return b""

    async def read(self) -> bytes | None:
        """Return None."""
        return None

    def abort(self, problem: str) -> None:
        """Do nothing."""


class StreamAnswer(Answer):
    """Read an answer from the stream of another node."""

    def __init__(self, stream: Stream, head: ResponseHead, body_sender: asyncio.Future | None):
        """Create an answer.

        Args:
            stream: The stream, whose head has been received.
            head: The received head.
            body_sender: Sends the request body, if there is one.
        """
        self.head = head
        self._body_sender = body_sender
        self._stream = stream
        self._ended = False

    async def read(self) -> bytes | None:
        """Return the next chunk."""
        if self._ended:
            return None
        data = await self._stream.receive_chunk()
        if data is None:
            self._complete()
        return data

    def receive_rest_nowait(self) -> bytes | None:
        """Return the body if the end of the stream has arrived."""
        whole = None if self._ended else self._stream.receive_rest_nowait()
        if whole is not None:
            self._complete()
        return whole

    def _complete(self) -> None:
        self._end()
        summary = self._stream.summary
        if isinstance(summary, ResponseSummary):
            self.used_attempts = summary.used_attempts

    def abort(self, problem: str) -> None:
        """Abort the stream."""
        if not self._ended:
            self._end()
            self._stream.abort(problem)

    def _end(self) -> None:
        self._ended = True
        if self._body_sender is not None:
            self._body_sender.cancel()


class StreamBody(Body):
    """Read a request body from a stream."""

    def __init__(self, stream: Stream, length: int | None):
        """Create a body.

        Args:
            stream: The stream that carries it.
            length: Length in bytes, or None if unknown.
        """
        self.length = length
        self._stream = stream

    async def read(self) -> bytes | None:
        """Return the next chunk."""
        return await self._stream.receive_chunk()


class ReplayBody(Body):
    """Read the body of a caller's request and buffer it for another attempt.

    A body longer than `BUFFER_LIMIT_BYTES` cannot be sent again.

    Attributes:
        read_error: The error that ended the caller's body early, or None.
    """

    # Large enough for look-ups and orders; buffering larger uploads would use too much memory.
    BUFFER_LIMIT_BYTES = 64 * 1024

    def __init__(self, source: Body):
        """Create a body.

        Args:
            source: Body of the caller's request, which can be read only once.
        """
        self.length = source.length
        self.source = source
        self._buffered_chunks: list[bytes] | None = []
        self._buffered_bytes = 0
        self._position = 0
        self._ended = False
        self.read_error: TransportError | None = None

    @property
    def replayable(self) -> bool:
        """Return whether the body can be read again from its start."""
        return self._buffered_chunks is not None

    @property
    def fully_buffered(self) -> bool:
        """Return whether the body has been read to its end and is buffered."""
        return self._ended and self._buffered_chunks is not None

    def rewind(self) -> None:
        """Restart reading at the first byte; requires `replayable`."""
        self._position = 0

    def copy(self) -> Body:
        """Return an independent copy of the body; requires `fully_buffered`."""
        return BufferedBody(self.length, self._buffered_chunks)

    async def read(self) -> bytes | None:
        """Return the next bytes, buffered ones first."""
        if self._buffered_chunks is not None and self._position < len(self._buffered_chunks):
            data = self._buffered_chunks[self._position]
            self._position += 1
            return data
        if self._ended:
            return None
        try:
            data = await self.source.read()
        except TransportError as error:
            self.read_error = error
            raise
        if data is None:
            self._ended = True
            return None
        self._buffer(data)
        return data

    def _buffer(self, data: bytes) -> None:
        if self._buffered_chunks is None:
            return
        self._buffered_bytes += len(data)
        if self._buffered_bytes > self.BUFFER_LIMIT_BYTES:
            self._buffered_chunks = None
            return
        self._buffered_chunks.append(data)
        self._position += 1


class BufferedBody(Body):
    """Read a request body that is buffered completely."""

    def __init__(self, length: int | None, chunks: list[bytes]):
        """Create a body.

        Args:
            length: Declared length in bytes, or None if unknown.
            chunks: All of its bytes.
        """
        self.length = length
        self._chunks = iter(chunks)

    async def read(self) -> bytes | None:
        """Return the next bytes."""
        return next(self._chunks, None)


def lost_answer() -> Answer:
    """Return the answer for an attempt that may have run but whose real answer is lost."""
    answer = RefusedAnswer(RefusalHead(RefusalReason.OUTCOME_UNKNOWN, False, None, 0, NO_LOAD))
    answer.carries_load = False
    answer.used_attempts = None
    return answer


def unreachable_answer() -> Answer:
    """Return the answer for an attempt of which nothing was sent."""
    answer = RefusedAnswer(RefusalHead(RefusalReason.NO_UPSTREAM, True, None, 0, NO_LOAD))
    answer.carries_load = False
    return answer


def load_from_level(level: ShedLevel) -> Load:
    """Convert a shed level to its form on the wire."""
    return Load(
        level.threshold,
        level.queue_delay_ms,
        level.running,
        level.limit,
        level.by_organisation,
        level.age_ms,
    )


def level_from_load(load: Load, held_ms: float) -> ShedLevel:
    """Convert the load in a message to a shed level.

    Args:
        load: The load.
        held_ms: Time since the message arrived.
    """
    return ShedLevel(
        load.threshold,
        load.queue_delay_ms,
        load.running,
        load.limit,
        load.by_organisation,
        load.age_ms + held_ms,
    )


def outcome_when_interrupted(clock: Clock, deadline_at_ms: float) -> Outcome:
    """Return the outcome of an attempt that was cancelled before its answer was complete.

    Args:
        clock: Clock for the deadline.
        deadline_at_ms: Deadline of the request.
    """
    expired = clock.now_ms() >= deadline_at_ms - DEADLINE_SLACK_MS
    return Outcome.TIMEOUT if expired else Outcome.CANCELLED


async def drain_answer(answer: Answer, limit_bytes: int) -> list[bytes] | None:
    """Read an answer to its end and buffer its body.

    Args:
        answer: The answer.
        limit_bytes: Longest body that is buffered.

    Returns:
        The chunks, or None if the answer is truncated or too long; one that is too long is aborted.
    """
    chunks = []
    total = 0
    try:
        while (data := await answer.read()) is not None:
            total += len(data)
            chunks.append(data)
            if total > limit_bytes:
                answer.abort("answer of a failed attempt is too long")
                return None
    except TransportError:
        return None
    return chunks
