"""Parse a request head into a call: organisation, route, parent, deadline and allowance."""

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

# Longest call chain; declared chains are at most this long. Calls beyond it are refused.
MAX_CALL_DEPTH = 18


class ExchangeBody(Body):
    """Read the request body of an exchange and fail if it contains the caller's API key.

    Attributes:
        contains_key: Whether the caller's API key was found.
    """

    def __init__(self, exchange: Exchange, key: str | None = None):
        """Create a body.

        Args:
            exchange: The request.
            key: The caller's API key, which must not reach a target.
        """
        self.length = exchange.body_length
        self.contains_key = False
        self._exchange = exchange
        self._key = b"" if key is None else key.encode()
        # A chunk may end with the beginning of the key; these bytes wait for the next chunk.
        self._held_back = b""
        self._ended = False

    async def read(self) -> bytes | None:
        """Return the next bytes.

        Raises:
            KeyInBody: The next bytes contain the API key.
        """
        if not self._key:
            return await self._exchange.read()
        while not self._ended:
            if data := await self._read_checked():
                return data
        return None

    async def _read_checked(self) -> bytes:
        chunk = await self._exchange.read()
        data = self._held_back + (chunk or b"")
        if self._key in data:
            self.contains_key = True
            raise KeyInBody()
        if chunk is None:
            self._ended, self._held_back = True, b""
            return data
        held_length = _partial_key_length(data, self._key)
        self._held_back = data[len(data) - held_length :]
        return data[: len(data) - held_length] if held_length else data


def _partial_key_length(data: bytes, key: bytes) -> int:
    """Return the length of the longest suffix of the data that is a prefix of the key."""
    start = data.find(key[:1], max(0, len(data) - len(key) + 1))
    while start >= 0:
        if key.startswith(data[start:]):
            return len(data) - start
        start = data.find(key[:1], start + 1)
    return 0


@attrs.define(eq=False)
class Call:
    """Store the state of one request while the gateway processes it.

    Attributes:
        plan: The plan in force when the request arrived.
        route: Matched route.
        method: HTTP method.
        target: Path and query.
        head: Parsed head.
        item: Work item for admission and routing.
        call_id: Id that all attempts share.
        parent: The request that made this inner call, or None for a root request.
        body: Request body, if any.
        state: Attempts made so far, and the retry allowance.
        idempotency_key: Key that prevents a second execution; None on idempotent routes.
        tried_upstreams: Upstreams that were chosen for an attempt.
        possible_executions: Number of attempts that may have reached a target.
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
        """Refuse a request whose body contains the caller's API key.

        Raises:
            Refused: The body contains the key. The target has received at most an incomplete body.
        """
        if self.body is not None and self.body.source.contains_key:
            raise Refused(RefusalReason.KEY_MISPLACED, not_run=False)


def authenticate(plan: Plan, parsed: ParsedHead) -> OrganisationId | None:
    """Return the organisation of the API key in a head, or None without a key.

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
    """Check the API key, match the route and create the call of a request.

    Args:
        plan: The plan in force.
        exchange: The request.
        parsed: Parsed head of the request.
        parent: The request that made this inner call, or None for a root request.
        call_id: Id of the request.
        now_ms: Present time on the local clock.

    Raises:
        Refused: The key, route, context, depth or deadline does not allow the request to run.
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
        now_ms + _timeout_ms(route, parsed),
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
    # An API key sent together with a context handle must be of the same organisation. Otherwise
    # the request would run for another organisation than that of its key.
    if organisation_id not in (None, parent.item.organisation_id):
        raise Refused(RefusalReason.KEY_UNKNOWN, not_run=True)
    if parent.item.depth + 1 >= MAX_CALL_DEPTH:
        raise Refused(RefusalReason.DEPTH_EXCEEDED, not_run=True)
    return WorkItem(
        parent.item.root_request_id,
        route.service_id,
        parent.item.organisation_id,
        parent.item.priority,
        parent.item.depth + 1,
        min(now_ms + _timeout_ms(route, parsed), parent.item.deadline_at_ms),
        route.idempotent,
        route.route_id,
    )


def _timeout_ms(route: Route, parsed: ParsedHead) -> float:
    if parsed.deadline_ms is None:
        return route.deadline_ms
    return min(route.deadline_ms, parsed.deadline_ms)
