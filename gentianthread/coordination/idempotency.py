"""Run each idempotency key at most once, at its home."""

import asyncio
import base64
import hashlib
import hmac
import secrets
from collections import deque
from collections.abc import Callable

import attrs

from ..clock import Clock
from ..errors import PeerTimeout, PeerUnreachable, Refused
from ..ids import NodeIdentity, OrganisationId, RefusalReason, ServiceId, UpstreamId
from ..protocol.messages_requests import (
    RequestHead,
    ResponseHead,
    TicketAnswer,
    TicketRequest,
)
from ..state.executions import (
    BODY_LIMIT_BYTES,
    ExecutionRecord,
    Executions,
    ExecutionState,
    RecordKey,
)
from ..state.plan import Plan
from ..state.rendezvous import choose
from ..transport.http_client import Body
from .answers import Answer, load_from_level
from .executor import Executor
from .peer_network import PeerNetwork

TICKET_PATH = "/.gentian/tickets"
TICKET_PREFIX = "ticket1."
TICKET_TIMEOUT_MS = 500.0

_SECRET_BYTES = 32
_NONCE_BYTES = 12
_MAC_BYTES = 16


@attrs.frozen
class Ticket:
    """Hold the readable part of a ticket.

    Attributes:
        home: Upstream whose node issued it.
        start_number: Process that issued it.
        expires_at_ms: End of its window on that process' clock. It is fixed at the issue, so that a
            longer window that comes into force later revives no key whose record is gone.
        payload: The text that the MAC protects.
        mac: The MAC.
    """

    home: UpstreamId
    start_number: int
    expires_at_ms: float
    payload: bytes
    mac: bytes


def parse_ticket(key: str) -> Ticket | None:
    """Return the ticket of an idempotency key, or None for a key that a caller made.

    Raises:
        Refused: The key looks like a ticket and is none.
    """
    if not key.startswith(TICKET_PREFIX):
        return None
    try:
        payload_text, mac_text = key[len(TICKET_PREFIX) :].split(".")
        payload = base64.urlsafe_b64decode(payload_text)
        home, start_number, expires_at_ms, _ = payload.decode().split("\0")
        mac = base64.urlsafe_b64decode(mac_text)
        return Ticket(UpstreamId(home), int(start_number), float(expires_at_ms), payload, mac)
    except (ValueError, UnicodeDecodeError):
        raise Refused(RefusalReason.HEADER_INVALID, not_run=True) from None


def home_of(
    plan: Plan, organisation_id: OrganisationId, service_id: ServiceId, key: str
) -> UpstreamId | None:
    """Return the home of a key.

    Args:
        plan: The accepted plan.
        organisation_id: Whose key it is.
        service_id: Service of the request.
        key: The idempotency key.

    Raises:
        Refused: The key looks like a ticket and is none.
    """
    ticket = parse_ticket(key)
    if ticket is not None:
        return ticket.home
    upstreams = plan.upstreams_by_service.get(service_id, ())
    return choose(
        f"{organisation_id}\0{service_id}\0{key}", [upstream.upstream_id for upstream in upstreams]
    )


class HomeHistory:
    """Know for how long this node has been home of a key.

    Each entry is the set of upstreams of a service since some time. A key that an older set in the
    window places elsewhere may have run there.
    """

    def __init__(self, local: NodeIdentity, clock: Clock, window_ms: float):
        """Start with the process.

        Args:
            local: Identity of this node.
            clock: Clock of the window.
            window_ms: The window.
        """
        self._local = local
        self._clock = clock
        # The longest window that was in force in this process.
        self.window_ms = window_ms
        self._started_at_ms = clock.now_ms()
        # Per service: (time from which the set no longer held, the set).
        self._former: dict[ServiceId, deque[tuple[float, tuple[UpstreamId, ...]]]] = {}
        self._current: dict[ServiceId, tuple[UpstreamId, ...]] = {}

    def observe(self, plan: Plan) -> None:
        """Take in a plan; call it for every plan that comes into force."""
        now_ms = self._clock.now_ms()
        for service_id, upstreams in plan.upstreams_by_service.items():
            names = tuple(upstream.upstream_id for upstream in upstreams)
            before = self._current.get(service_id)
            if before is not None and before != names:
                self._former.setdefault(service_id, deque()).append((now_ms, before))
            self._current[service_id] = names

    def covers_window(
        self, organisation_id: OrganisationId, service_id: ServiceId, key: str
    ) -> bool:
        """Return whether this node has been home of a key for a whole window."""
        now_ms = self._clock.now_ms()
        if now_ms - self._started_at_ms < self.window_ms:
            return False
        former = self._former.get(service_id, deque())
        while former and now_ms - former[0][0] >= self.window_ms:
            former.popleft()
        text = f"{organisation_id}\0{service_id}\0{key}"
        sets = [names for _, names in former]
        sets.append(self._current.get(service_id, ()))
        return all(choose(text, names) == self._local.upstream_id for names in sets)


class Idempotency:
    """Issue tickets and run keyed requests at this node as their home."""

    def __init__(
        self,
        local: NodeIdentity,
        executor: Executor,
        peers: PeerNetwork,
        clock: Clock,
        executions: Executions | None = None,
    ):
        """Create a home without records.

        Args:
            local: Identity of this node.
            executor: Runs requests.
            peers: Reaches other homes.
            clock: Clock of the window.
            executions: The records.
        """
        self.local = local
        self.executor = executor
        self.peers = peers
        self.clock = clock
        # An empty table is false, so it is compared with None.
        self.executions = Executions(clock) if executions is None else executions
        self.history = HomeHistory(local, clock, self.executions.window_ms)
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        peers.subscribe(TicketRequest, self._answer_ticket_request)

    def observe(self, plan: Plan) -> None:
        """Follow the homes and the window of a plan that came into force."""
        self.history.observe(plan)
        upstream = plan.upstreams.get(self.local.upstream_id)
        if upstream is not None:
            window_ms = plan.profile_of(upstream.service_id).idempotency_window_ms
            self.executions.window_ms = window_ms
            self.history.window_ms = max(self.history.window_ms, window_ms)

    def issue(self, organisation_id: OrganisationId, service_id: ServiceId) -> str:
        """Return a new ticket of this home."""
        nonce = secrets.token_urlsafe(_NONCE_BYTES)
        fields = (self.local.upstream_id, str(self.local.start_number))
        expires_at_ms = self.clock.now_ms() + self.executions.window_ms
        payload = "\0".join((*fields, f"{expires_at_ms:.0f}", nonce)).encode()
        mac = self._mac(payload, organisation_id, service_id)
        encoded = base64.urlsafe_b64encode(payload).decode()
        return f"{TICKET_PREFIX}{encoded}.{base64.urlsafe_b64encode(mac).decode()}"

    def _mac(self, payload: bytes, organisation_id: OrganisationId, service_id: ServiceId) -> bytes:
        scope = f"\0{organisation_id}\0{service_id}".encode()
        return hmac.digest(self._secret, payload + scope, hashlib.sha256)[:_MAC_BYTES]

    def _answer_ticket_request(self, sender: NodeIdentity, request: TicketRequest) -> TicketAnswer:
        if self.executor.leaving is not None:
            return TicketAnswer(None)
        return TicketAnswer(self.issue(request.organisation_id, request.service_id))

    async def fetch_ticket(
        self,
        organisation_id: OrganisationId,
        service_id: ServiceId,
        choose_home: Callable[[frozenset[UpstreamId]], UpstreamId],
    ) -> str:
        """Return a ticket of a live home.

        Args:
            organisation_id: Whose ticket it is.
            service_id: Service of the request to come.
            choose_home: Returns an upstream outside of the excluded ones.

        Raises:
            NoUpstream: No home issues a ticket.
        """
        tried: frozenset[UpstreamId] = frozenset()
        request = TicketRequest(organisation_id, service_id)
        while True:
            home = choose_home(tried)
            tried |= {home}
            if home == self.local.upstream_id:
                answer = self._answer_ticket_request(self.local, request)
            else:
                try:
                    answer = await self.peers.request(home, request, TICKET_TIMEOUT_MS)
                except (PeerUnreachable, PeerTimeout):
                    continue
            if isinstance(answer, TicketAnswer) and answer.ticket is not None:
                return answer.ticket

    async def run(self, head: RequestHead, body: Body | None, deadline_at_ms: float) -> Answer:
        """Run a keyed request at this home, or answer it from its record.

        Args:
            head: The request, with its key.
            body: Its body, if any.
            deadline_at_ms: When the caller stops waiting.
        """
        key = RecordKey(head.organisation_id, head.service_id, head.idempotency_key or "")
        fingerprint = f"{head.method} {head.target_path}"
        record = self.executions.find(key)
        if record is not None:
            return self._repeat(record, fingerprint)
        try:
            self._check_home(key)
        except Refused as refusal:
            return self.executor.refuse(refusal, 0)
        record = self.executions.claim(key, fingerprint)
        if record is None:
            return self.executor.refuse(Refused(RefusalReason.RECORDS_FULL, not_run=True), 0)
        try:
            answer = await self.executor.run(head, body, deadline_at_ms)
        except BaseException:
            self.executions.lose(record)
            raise
        if isinstance(answer.head, ResponseHead):
            return RecordedAnswer(answer, self.executions, record)
        if answer.head.not_run:
            self.executions.release(key)
        else:
            self.executions.lose(record)
        return answer

    def _check_home(self, key: RecordKey) -> None:
        """Refuse an unknown key that may have run elsewhere or in an earlier process.

        Raises:
            Refused: The outcome is unknown, or the ticket is forged.
        """
        ticket = parse_ticket(key.key)
        unknown = Refused(RefusalReason.OUTCOME_UNKNOWN, not_run=False)
        if ticket is None:
            if not self.history.covers_window(key.organisation_id, key.service_id, key.key):
                raise unknown
            return
        if (ticket.home, ticket.start_number) != (
            self.local.upstream_id,
            self.local.start_number,
        ):
            raise unknown
        mac = self._mac(ticket.payload, key.organisation_id, key.service_id)
        if not hmac.compare_digest(mac, ticket.mac):
            raise Refused(RefusalReason.HEADER_INVALID, not_run=True)
        if self.clock.now_ms() >= ticket.expires_at_ms:
            raise unknown

    def _repeat(self, record: ExecutionRecord, fingerprint: str) -> Answer:
        if record.fingerprint != fingerprint:
            return self.executor.refuse(Refused(RefusalReason.HEADER_INVALID, not_run=True), 0)
        if record.state is ExecutionState.RUNNING:
            reason = RefusalReason.IN_PROGRESS
        elif record.state is ExecutionState.UNKNOWN:
            reason = RefusalReason.OUTCOME_UNKNOWN
        elif record.body is None:
            reason = RefusalReason.ALREADY_RUN
        else:
            load = load_from_level(self.executor.admission.level())
            return KeptAnswer(ResponseHead(record.status, record.headers, False, load), record.body)
        return self.executor.refuse(Refused(reason, not_run=False), 0)


class KeptAnswer(Answer):
    """Give a recorded answer again."""

    def __init__(self, head: ResponseHead, body: bytes):
        """Create an answer from a record."""
        self.head = head
        self.used_attempts = 0
        self._body: bytes | None = body or None

    async def read(self) -> bytes | None:
        """Return the recorded body once."""
        body, self._body = self._body, None
        return body

    def abort(self, problem: str) -> None:
        """Do nothing."""


class RecordedAnswer(Answer):
    """Pass an answer on and record it."""

    def __init__(self, answer: Answer, executions: Executions, record: ExecutionRecord):
        """Start to record.

        Args:
            answer: The answer of the target.
            executions: The table of the record.
            record: The record of the key.
        """
        self.head = answer.head
        self._answer = answer
        self._executions = executions
        self._record: ExecutionRecord | None = record
        self._parts: list[bytes] = []
        self._kept_bytes = 0

    async def read(self) -> bytes | None:
        """Return the next body bytes."""
        try:
            data = await self._answer.read()
        except (Exception, asyncio.CancelledError):
            self._complete(None)
            raise
        if data is None:
            self.used_attempts = self._answer.used_attempts
            whole = self._kept_bytes <= BODY_LIMIT_BYTES
            self._complete(b"".join(self._parts) if whole else None)
            return None
        self._kept_bytes += len(data)
        if self._kept_bytes <= BODY_LIMIT_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()
        return data

    def receive_rest_nowait(self) -> bytes | None:
        """Return the body if all of it is here, and record it."""
        whole = self._answer.receive_rest_nowait()
        if whole is not None:
            self.used_attempts = self._answer.used_attempts
            self._complete(whole)
        return whole

    def _complete(self, body: bytes | None) -> None:
        record, self._record = self._record, None
        if record is not None:
            self._executions.complete(record, self.head.status, self.head.headers, body)

    def abort(self, problem: str) -> None:
        """Record that the request has run, and cancel the rest."""
        self._complete(None)
        self._answer.abort(problem)
