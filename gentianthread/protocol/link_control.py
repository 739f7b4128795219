"""Send and receive control messages, and requests with answers, over a link."""

import asyncio
import inspect
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from ..errors import ConnectionLost, FrameError, GentianError, MessageError
from ..events import TASK_FAILED
from ..logs import log
from .codec import MESSAGE_LIMIT_BYTES, decode, encode
from .frames import FrameKind
from .link_stream import LinkStream

if TYPE_CHECKING:
    from .link import Link

# Control messages of one link whose handlers may run at the same time; further ones are dropped.
HANDLERS_LIMIT = 1_024


class LinkOwner(ABC):
    """Handle the messages, streams and closing of links."""

    @abstractmethod
    def on_message(self, link: "Link", message: Any) -> Any:
        """Handle a control message and return the answer, None, or an awaitable of either."""

    @abstractmethod
    def on_stream(self, link: "Link", head: Any, stream: LinkStream) -> Coroutine[Any, Any, None]:
        """Return the coroutine that serves a stream that the peer opened."""

    @abstractmethod
    def on_closed(self, link: "Link", error: GentianError, unsent: list[LinkStream]) -> None:
        """Handle the closing of a link.

        Args:
            link: The link that closed.
            error: Why it closed.
            unsent: Streams opened by this end of which nothing was sent. The owner must move each
                to another link or end it.
        """


class ControlChannel:
    """Send and handle the control messages of one end of a link."""

    def __init__(self, link: "Link", owner: LinkOwner):
        """Create the channel.

        Args:
            link: The link whose frames carry the messages.
            owner: Handles received messages.
        """
        self._link = link
        self._owner = owner
        self._pending_requests: dict[int, asyncio.Future] = {}
        self._partial_message = bytearray()
        self._handler_count = 0

    @property
    def busy(self) -> bool:
        """Return whether a request waits for its answer or a handler is running."""
        return bool(self._pending_requests) or self._handler_count > 0

    def send(self, message: Any) -> None:
        """Queue a one-way message.

        Raises:
            ConnectionLost: The link is closed.
        """
        self._link.send_message(FrameKind.MESSAGE, 0, _encode_within_limit(message))

    async def request(self, message: Any) -> Any:
        """Queue a request and wait for its answer.

        Raises:
            ConnectionLost: The link closed before the answer came.
        """
        data = _encode_within_limit(message)
        request_id = self._link.allocate_id()
        answer_future = asyncio.get_running_loop().create_future()
        self._link.send_message(FrameKind.REQUEST, request_id, data)
        self._pending_requests[request_id] = answer_future
        try:
            return await answer_future
        finally:
            self._pending_requests.pop(request_id, None)

    def fail(self, error: GentianError) -> None:
        """Fail the requests that wait for an answer."""
        for answer_future in self._pending_requests.values():
            if not answer_future.done():
                answer_future.set_exception(
                    ConnectionLost(str(self._link.peer.upstream_id), str(error))
                )
        self._pending_requests.clear()

    def on_message(self, frame_id: int, payload: bytes) -> None:
        """Decode a received one-way message and pass it to the owner."""
        self._handle(decode(self._complete_message(payload)), None)

    def on_request(self, request_id: int, payload: bytes) -> None:
        """Decode a received request, pass it to the owner and send the answer."""
        self._handle(decode(self._complete_message(payload)), request_id)

    def on_answer(self, request_id: int, payload: bytes) -> None:
        """Pass a received answer to the request that waits for it."""
        answer = decode(self._complete_message(payload))
        answer_future = self._pending_requests.get(request_id)
        if answer_future is None or answer_future.done():
            self._link.drop_frame(FrameKind.ANSWER, request_id)
        else:
            answer_future.set_result(answer)

    def on_part(self, frame_id: int, payload: bytes) -> None:
        """Store a part of a long message until its last frame arrives.

        Raises:
            FrameError: The parts exceed the length limit of a message.
        """
        if len(self._partial_message) + len(payload) > MESSAGE_LIMIT_BYTES:
            raise FrameError(f"parts of over {MESSAGE_LIMIT_BYTES} bytes")
        self._partial_message += payload

    def _complete_message(self, payload: bytes) -> bytes:
        if not self._partial_message:
            return payload
        complete, self._partial_message = bytes(self._partial_message + payload), bytearray()
        return complete

    def _handle(self, message: Any, request_id: int | None) -> None:
        if self._handler_count >= HANDLERS_LIMIT:
            self._link.drop_frame(FrameKind.MESSAGE, request_id or 0)
            return
        try:
            result = self._owner.on_message(self._link, message)
        except Exception as error:
            log(TASK_FAILED, task=f"handler of {type(message).__name__}", error=repr(error))
            return
        if inspect.isawaitable(result):
            self._handler_count += 1
            self._link.start_task(
                self._send_answer_when_ready(result, request_id), type(message).__name__
            )
        else:
            self._send_answer(result, request_id)

    async def _send_answer_when_ready(self, result: Any, request_id: int | None) -> None:
        try:
            self._send_answer(await result, request_id)
        finally:
            self._handler_count -= 1

    def _send_answer(self, answer: Any, request_id: int | None) -> None:
        if request_id is None or answer is None or self._link.error is not None:
            return
        try:
            self._link.send_message(FrameKind.ANSWER, request_id, _encode_within_limit(answer))
        except MessageError as error:
            # A local fault of the handler; the link can go on.
            log(TASK_FAILED, task="answer to a peer", error=repr(error))


def _encode_within_limit(message: Any) -> bytes:
    data = encode(message)
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MessageError(type(message).__name__, f"over {MESSAGE_LIMIT_BYTES} bytes")
    return data
