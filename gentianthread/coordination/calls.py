"""Describe a request from its head: key, route, parent, deadline and allowance."""

import hashlib
import hmac

import attrs

from ..errors import KeyInBody, Refused
from ..ids import ANONYMOUS, OrganisationId, RefusalReason, RequestId, UpstreamId
from ..protocol.headers import ParsedHead
from ..state.allowance import Allowance
from ..state.contexts import RunningContext
from ..state.plan import Plan, Route
from ..state.work import WorkItem
from ..transport.http_client import Body
from ..transport.http_server import Exchange
from .answers import ReplayBody
from .retries import RetryState

# Calls deeper than this are refused; declared call chains are at most this deep.
DEPTH_LIMIT = 18


class ExchangeBody(Body):
    """Read the request body of an exchange, and stop before a key of its caller.

    Attributes:
        has_key: Whether the caller's key was found.
    """

    def __init__(self, exchange: Exchange, key: str | None = None):
        """Create a body.

        Args:
            exchange: The request.
            key: The caller's key, which must not reach a target.
        """
        self.length = exchange.body_length
        self.has_key = False
        self._exchange = exchange
        self._key = b"" if key is None else key.encode()
        # The start of a key at the end of one part is kept back until the next part has come.
        self._kept_back = b""
        self._ended = False

    async def read(self) -> bytes | None:
        """Return the next bytes.

        Raises:
            KeyInBody: The next bytes contain the key.
        """
        if not self._key:
            return await self._exchange.read()
        while not self._ended:
            if data := await self._read_checked():
                return data
        return None

    async def _read_checked(self) -> bytes:
        part = await self._exchange.read()
        data = self._kept_back + (part or b"")
        if self._key in data:
            self.has_key = True
            raise KeyInBody()
        if part is None:
            self._ended, self._kept_back = True, b""
            return data
        kept = _overlap(data, self._key)
        self._kept_back = data[len(data) - kept :]
        return data[: len(data) - kept] if kept else data


def _overlap(data: bytes, key: bytes) -> int:
    """Return the length of the longest end of the data that a key starts with."""
    place = data.find(key[:1], max(0, len(data) - len(key) + 1))
    while place >= 0:
        if key.startswith(data[place:]):
            return len(data) - place
        place = data.find(key[:1], place + 1)
    return 0


@attrs.define(eq=False)
class Call:
    """Hold one request while it is seen through.

    Attributes:
        plan: The plan in force when it came.
        route: Its route.
        method: HTTP method.
        target: Path and query.
        head: Its parsed head.
        item: Its description for admission and routing.
        call_id: Id that all its attempts share.
        parent: The request that made it, if it is an inner call.
        body: Its body, if it has one.
        state: Its attempts.
        idempotency_key: Its key against double execution; None on idempotent routes.
        tried_upstreams: Upstreams that an attempt went to.
        possible_executions: Attempts that may have reached a target.
    """

    plan: Plan
    route: Route
    method: str
    target: str
    head: ParsedHead
    item: WorkItem
    call_id: str
    parent: RunningContext | None
    body: ReplayBody | None
    state: RetryState
    idempotency_key: str | None = None
    tried_upstreams: set[UpstreamId] = attrs.field(factory=set)
    possible_executions: int = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt may have reached a target."""
        return self.possible_executions > 0

    def check_body(self) -> None:
        """Refuse a request whose body was found to contain the caller's key.

        Raises:
            Refused: The target got a part of the body at most, without its end.
        """
        if self.body is not None and self.body.source.has_key:
            raise Refused(RefusalReason.KEY_MISPLACED, not_run=False)


def authenticate(plan: Plan, parsed: ParsedHead) -> OrganisationId | None:
    """Return the organisation of the key in a head, or None without a key.

    Raises:
        Refused: The plan has no such key.
    """
    if parsed.key is None or parsed.key_id is None:
        return None
    key = plan.keys.get(parsed.key_id)
    if key is not None:
        digest = hashlib.sha256(key.salt + parsed.key.encode()).digest()
        if hmac.compare_digest(digest, key.digest):
            return key.organisation_id
    raise Refused(RefusalReason.KEY_UNKNOWN, not_run=True)


def describe_call(
    plan: Plan,
    exchange: Exchange,
    parsed: ParsedHead,
    parent: RunningContext | None,
    call_id: str,
    now_ms: float,
) -> Call:
    """Check the key, match the route and describe the request.

    Args:
        plan: The plan in force.
        exchange: The request.
        parsed: Its parsed head.
        parent: The request that made it, if it is an inner call.
        call_id: Its id.
        now_ms: The time, on the local clock.

    Raises:
        Refused: The request may not run.
    """
    organisation_id = authenticate(plan, parsed)
    route = plan.match_route(exchange.method, parsed.path)
    if route is None:
        raise Refused(RefusalReason.ROUTE_UNKNOWN, not_run=True)
    if parent is None:
        item = _root_item(route, parsed, organisation_id, call_id, now_ms)
        allowance = Allowance(plan.profile_of(route.service_id).retry_allowance)
    else:
        item = _inner_item(route, parsed, organisation_id, parent, now_ms)
        allowance = parent.allowance
    if item.deadline_at_ms <= now_ms:
        raise Refused(RefusalReason.DEADLINE_EXCEEDED, not_run=True)
    return Call(
        plan,
        route,
        exchange.method,
        exchange.target,
        parsed,
        item,
        call_id,
        parent,
        ReplayBody(ExchangeBody(exchange, parsed.key)) if exchange.has_body else None,
        RetryState(allowance),
        None if route.idempotent else parsed.idempotency_key,
    )


def _root_item(
    route: Route,
    parsed: ParsedHead,
    organisation_id: OrganisationId | None,
    call_id: str,
    now_ms: float,
) -> WorkItem:
    if organisation_id is None:
        if not route.open_to_all:
            raise Refused(RefusalReason.KEY_MISSING, not_run=True)
        organisation_id = ANONYMOUS
    return WorkItem(
        RequestId(call_id),
        route.service_id,
        organisation_id,
        route.priority,
        0,
        now_ms + _limit_ms(route, parsed),
        route.idempotent,
        route.route_id,
    )


def _inner_item(
    route: Route,
    parsed: ParsedHead,
    organisation_id: OrganisationId | None,
    parent: RunningContext,
    now_ms: float,
) -> WorkItem:
    # A key beside a handle must belong to the same organisation, or the request would run for
    # another one than its key says.
    if organisation_id not in (None, parent.item.organisation_id):
        raise Refused(RefusalReason.KEY_UNKNOWN, not_run=True)
    if parent.item.depth + 1 >= DEPTH_LIMIT:
        raise Refused(RefusalReason.DEPTH_EXCEEDED, not_run=True)
    return WorkItem(
        parent.item.root_request_id,
        route.service_id,
        parent.item.organisation_id,
        parent.item.priority,
        parent.item.depth + 1,
        min(now_ms + _limit_ms(route, parsed), parent.item.deadline_at_ms),
        route.idempotent,
        route.route_id,
    )


def _limit_ms(route: Route, parsed: ParsedHead) -> float:
    if parsed.deadline_ms is None:
        return route.deadline_ms
    return min(route.deadline_ms, parsed.deadline_ms)
