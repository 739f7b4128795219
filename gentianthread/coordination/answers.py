"""Give the answer of one attempt, whether it ran on this node's target or on another node's."""

import asyncio
from abc import ABC, abstractmethod

from ..clock import Clock
from ..errors import TransportError
from ..ids import Outcome, RefusalReason
from ..protocol.messages_requests import Load, RefusalHead, ResponseHead, ResponseSummary
from ..protocol.streams import Stream
from ..state.work import ShedLevel
from ..transport.http_client import Body

# Timers of the event loop may fire this much before the deadline on the clock.
DEADLINE_SLACK_MS = 2.0

NO_LOAD = Load(0.0, 0.0, 0, 0)


class Answer(ABC):
    """Hold the head of an answer and give its body.

    Attributes:
        head: A `ResponseHead` or a `RefusalHead`.
        used_attempts: Part of the lent allowance that was used; None until the complete end.
        service_ms: Time that the target took, once the answer has ended.
        carries_load: Whether the head came from the target's node, so that its load is known.
    """

    head: ResponseHead | RefusalHead
    service_ms: float = 0.0
    carries_load: bool = True
    used_attempts: int | None = None

    @abstractmethod
    async def read(self) -> bytes | None:
        """Return the next body bytes, or None after the complete end.

        Raises:
            TransportError: The answer is truncated.
        """

    def take_whole(self) -> bytes | None:
        """Return the whole body if all of it is here, and end the answer; None otherwise.

        Lets a short answer go out in one message instead of three.
        """
        return None

    @abstractmethod
    def abort(self, problem: str) -> None:
        """Cancel what is still under way; does nothing after the complete end."""


class RefusedAnswer(Answer):
    """Hold a refusal."""

    def __init__(self, head: RefusalHead):
        """Create an answer without a body."""
        self.head = head
        self.used_attempts = head.used_attempts

    def take_whole(self) -> bytes | None:
        """Return no bytes."""
        return b""

    async def read(self) -> bytes | None:
        """Return None."""
        return None

    def abort(self, problem: str) -> None:
        """Do nothing."""


class StreamAnswer(Answer):
    """Read an answer from the stream of another node."""

    def __init__(self, stream: Stream, head: ResponseHead, pump: asyncio.Future | None):
        """Create an answer.

        Args:
            stream: The stream, with its head received.
            head: That head.
            pump: Sends the request body, if there is one.
        """
        self.head = head
        self._pump = pump
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

    def take_whole(self) -> bytes | None:
        """Return the body if its finish mark is here."""
        whole = None if self._ended else self._stream.take_whole()
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
        if self._pump is not None:
            self._pump.cancel()


class StreamBody(Body):
    """Read a request body from a stream."""

    def __init__(self, stream: Stream, length: int | None):
        """Create a body.

        Args:
            stream: The stream that carries it.
            length: Length in bytes, or None.
        """
        self.length = length
        self._stream = stream

    async def read(self) -> bytes | None:
        """Return the next chunk."""
        return await self._stream.receive_chunk()


class ReplayBody(Body):
    """Read the body of a caller's request, and keep its start for another attempt.

    A body that grew beyond the limit cannot be sent again.

    Attributes:
        problem: Why the caller's body broke off, or None.
    """

    # Covers look-ups and orders; larger uploads are not worth their memory.
    LIMIT_BYTES = 64 * 1024

    def __init__(self, source: Body):
        """Create a body.

        Args:
            source: Gives the bytes once.
        """
        self.length = source.length
        self.source = source
        self._kept: list[bytes] | None = []
        self._kept_bytes = 0
        self._position = 0
        self._ended = False
        self.problem: TransportError | None = None

    @property
    def replayable(self) -> bool:
        """Return whether the body can be read from its start again."""
        return self._kept is not None

    @property
    def whole(self) -> bool:
        """Return whether all of the body has come and is kept."""
        return self._ended and self._kept is not None

    def rewind(self) -> None:
        """Start again; the caller has checked `replayable`."""
        self._position = 0

    def copy(self) -> Body:
        """Return the body from its start again; the caller has checked `whole`."""
        return KeptBody(self.length, self._kept)

    async def read(self) -> bytes | None:
        """Return the next bytes, first those that were kept."""
        if self._kept is not None and self._position < len(self._kept):
            data = self._kept[self._position]
            self._position += 1
            return data
        if self._ended:
            return None
        try:
            data = await self.source.read()
        except TransportError as error:
            self.problem = error
            raise
        if data is None:
            self._ended = True
            return None
        self._keep(data)
        return data

    def _keep(self, data: bytes) -> None:
        if self._kept is None:
            return
        self._kept_bytes += len(data)
        if self._kept_bytes > self.LIMIT_BYTES:
            self._kept = None
            return
        self._kept.append(data)
        self._position += 1


class KeptBody(Body):
    """Read a request body of which all bytes are kept."""

    def __init__(self, length: int | None, parts: list[bytes]):
        """Create a body.

        Args:
            length: Length in bytes, or None.
            parts: All of its bytes.
        """
        self.length = length
        self._parts = iter(parts)

    async def read(self) -> bytes | None:
        """Return the next bytes."""
        return next(self._parts, None)


def lost_answer() -> Answer:
    """Return the answer of an attempt that may have run and whose answer is lost."""
    answer = RefusedAnswer(RefusalHead(RefusalReason.OUTCOME_UNKNOWN, False, None, 0, NO_LOAD))
    answer.carries_load = False
    answer.used_attempts = None
    return answer


def unreachable_answer() -> Answer:
    """Return the answer of an attempt of which nothing was sent."""
    answer = RefusedAnswer(RefusalHead(RefusalReason.NO_UPSTREAM, True, None, 0, NO_LOAD))
    answer.carries_load = False
    return answer


def load_from_level(level: ShedLevel) -> Load:
    """Return the wire form of a load."""
    return Load(
        level.threshold,
        level.queue_delay_ms,
        level.running,
        level.limit,
        level.by_organisation,
        level.age_ms,
    )


def level_from_load(load: Load) -> ShedLevel:
    """Return the load of a wire form."""
    return ShedLevel(
        load.threshold,
        load.queue_delay_ms,
        load.running,
        load.limit,
        load.by_organisation,
        load.age_ms,
    )


def early_end(clock: Clock, deadline_at_ms: float) -> Outcome:
    """Return the outcome of an attempt that was ended from outside before its answer was complete.

    Args:
        clock: Clock of the deadline.
        deadline_at_ms: When the caller stops waiting.
    """
    late = clock.now_ms() >= deadline_at_ms - DEADLINE_SLACK_MS
    return Outcome.TIMEOUT if late else Outcome.CANCELLED


async def drain_answer(answer: Answer, limit_bytes: int) -> list[bytes] | None:
    """Read an answer to its end.

    Args:
        answer: The answer.
        limit_bytes: Longest body that is kept.

    Returns:
        The chunks, or None if the answer is too long or truncated; it is then aborted.
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
