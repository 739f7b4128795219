"""Execute the request of each idempotency key at most once.

Each key has a home: the upstream whose node alone executes requests with this key and stores the
record of their outcome. A ticket is an idempotency key that a node has issued and that names its
home; the home of any other key is chosen from the key by rendezvous hashing.
"""

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
    ExecutionState,
    ExecutionTable,
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
    """Represent a parsed ticket, whose MAC has not been verified.

    Attributes:
        home: Upstream whose node issued the ticket.
        start_number: Start number of the process that issued the ticket.
        expires_at_ms: End of the window on the clock of that process. It is fixed at issue, so that
            a longer window in a later plan doesn't make a ticket valid again whose record has
            been evicted.
        payload: The bytes that the MAC protects.
        mac: The MAC.
    """

    home: UpstreamId
    start_number: int
    expires_at_ms: float
    payload: bytes
    mac: bytes


def parse_ticket(key: str) -> Ticket | None:
    """Parse an idempotency key; return None for a key that the caller chose itself.

    Raises:
        Refused: The key has the prefix of a ticket but is malformed.
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
    """Return the home of a key, or None if the service has no upstream.

    Args:
        plan: The accepted plan.
        organisation_id: Organisation that sends the key.
        service_id: Service of the request.
        key: The idempotency key.

    Raises:
        Refused: The key has the prefix of a ticket but is malformed.
    """
    ticket = parse_ticket(key)
    if ticket is not None:
        return ticket.home
    upstreams = plan.upstreams_by_service.get(service_id, ())
    return choose(
        f"{organisation_id}\0{service_id}\0{key}", [upstream.upstream_id for upstream in upstreams]
    )


class HomeHistory:
    """Track which upstreams each service had during the last window.

    The upstreams determine the home of a key that a caller chose. If a set of upstreams that was in
    force within the window gives a key another home, the request may have been executed there.
    """

    def __init__(self, local: NodeIdentity, clock: Clock, window_ms: float):
        """Create an empty history that begins now.

        Args:
            local: Identity of this node.
            clock: Clock of the window.
            window_ms: How long a key stays bound to its execution.
        """
        self._local = local
        self._clock = clock
        # The longest window that has been in force since the process started.
        self.window_ms = window_ms
        self._started_at_ms = clock.now_ms()
        # Per service, oldest first: (time at which a plan replaced the upstreams, the upstreams).
        self._former_upstreams: dict[ServiceId, deque[tuple[float, tuple[UpstreamId, ...]]]] = {}
        self._current_upstreams: dict[ServiceId, tuple[UpstreamId, ...]] = {}

    def apply_plan(self, plan: Plan) -> None:
        """Record the upstreams of a plan; must be called for each plan that comes into force."""
        now_ms = self._clock.now_ms()
        for service_id, upstreams in plan.upstreams_by_service.items():
            upstream_ids = tuple(upstream.upstream_id for upstream in upstreams)
            previous = self._current_upstreams.get(service_id)
            if previous is not None and previous != upstream_ids:
                self._former_upstreams.setdefault(service_id, deque()).append((now_ms, previous))
            self._current_upstreams[service_id] = upstream_ids

    def was_home_for_window(
        self, organisation_id: OrganisationId, service_id: ServiceId, key: str
    ) -> bool:
        """Return whether this node has been the home of a key for the whole window."""
        now_ms = self._clock.now_ms()
        if now_ms - self._started_at_ms < self.window_ms:
            return False
        former = self._former_upstreams.get(service_id, deque())
        while former and now_ms - former[0][0] >= self.window_ms:
            former.popleft()
        text = f"{organisation_id}\0{service_id}\0{key}"
        upstream_sets = [upstream_ids for _, upstream_ids in former]
        upstream_sets.append(self._current_upstreams.get(service_id, ()))
        return all(
            choose(text, upstream_ids) == self._local.upstream_id for upstream_ids in upstream_sets
        )


class Idempotency:
    """Issue tickets, and execute the keyed requests whose home is this node."""

    def __init__(
        self,
        local: NodeIdentity,
        executor: Executor,
        peers: PeerNetwork,
        clock: Clock,
        executions: ExecutionTable | None = None,
    ):
        """Create a home, and register its answer to ticket requests of peers.

        Args:
            local: Identity of this node.
            executor: Runs requests on the target.
            peers: Reaches the nodes of other homes.
            clock: Clock of the window.
            executions: The records; None means an empty table.
        """
        self.local = local
        self.executor = executor
        self.peers = peers
        self.clock = clock
        # An empty table is falsy, so `executions or ...` would replace the one that was passed.
        self.executions = ExecutionTable(clock) if executions is None else executions
        self.history = HomeHistory(local, clock, self.executions.window_ms)
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        peers.subscribe(TicketRequest, self._answer_ticket_request)

    def apply_plan(self, plan: Plan) -> None:
        """Apply the upstreams and the window of a plan that came into force."""
        self.history.apply_plan(plan)
        upstream = plan.upstreams.get(self.local.upstream_id)
        if upstream is not None:
            window_ms = plan.profile_of(upstream.service_id).idempotency_window_ms
            self.executions.window_ms = window_ms
            self.history.window_ms = max(self.history.window_ms, window_ms)

    def issue_ticket(self, organisation_id: OrganisationId, service_id: ServiceId) -> str:
        """Issue a ticket whose home is this node."""
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
        return TicketAnswer(self.issue_ticket(request.organisation_id, request.service_id))

    async def fetch_ticket(
        self,
        organisation_id: OrganisationId,
        service_id: ServiceId,
        choose_home: Callable[[frozenset[UpstreamId]], UpstreamId],
    ) -> str:
        """Return a ticket from the first home that issues one.

        Args:
            organisation_id: Organisation that will use the ticket.
            service_id: Service of the request that will carry the ticket.
            choose_home: Returns an upstream that isn't in the given set.

        Raises:
            NoUpstream: None of the upstreams issued a ticket.
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
        """Execute a keyed request whose home is this node, or answer it from its record.

        Args:
            head: Head of the request, with its key.
            body: Body of the request, if any.
            deadline_at_ms: When the caller stops waiting.
        """
        key = RecordKey(head.organisation_id, head.service_id, head.idempotency_key or "")
        fingerprint = f"{head.method} {head.target_path}"
        record = self.executions.find(key)
        if record is not None:
            return self._answer_repeat(record, fingerprint)
        try:
            self._check_unrecorded_key(key)
        except Refused as refusal:
            return self.executor.refuse(refusal, 0)
        record = self.executions.claim(key, fingerprint)
        if record is None:
            return self.executor.refuse(Refused(RefusalReason.RECORDS_FULL, not_run=True), 0)
        try:
            answer = await self.executor.run(head, body, deadline_at_ms)
        except BaseException:
            self.executions.mark_unknown(record)
            raise
        if isinstance(answer.head, ResponseHead):
            return RecordingAnswer(answer, self.executions, record)
        if answer.head.not_run:
            self.executions.release(key)
        else:
            self.executions.mark_unknown(record)
        return answer

    def _check_unrecorded_key(self, key: RecordKey) -> None:
        """Check that a key without a record can't have been executed before.

        An earlier home of the key, or an earlier process of this node, may have executed it, and
        its records are not available here.

        Raises:
            Refused: The outcome is unknown, or the ticket is forged.
        """
        ticket = parse_ticket(key.key)
        unknown_outcome = Refused(RefusalReason.OUTCOME_UNKNOWN, not_run=False)
        if ticket is None:
            if not self.history.was_home_for_window(key.organisation_id, key.service_id, key.key):
                raise unknown_outcome
            return
        if (ticket.home, ticket.start_number) != (
            self.local.upstream_id,
            self.local.start_number,
        ):
            raise unknown_outcome
        mac = self._mac(ticket.payload, key.organisation_id, key.service_id)
        if not hmac.compare_digest(mac, ticket.mac):
            raise Refused(RefusalReason.HEADER_INVALID, not_run=True)
        if self.clock.now_ms() >= ticket.expires_at_ms:
            raise unknown_outcome

    def _answer_repeat(self, record: ExecutionRecord, fingerprint: str) -> Answer:
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
            return ReplayedAnswer(
                ResponseHead(record.status, record.headers, False, load), record.body
            )
        return self.executor.refuse(Refused(reason, not_run=False), 0)


class ReplayedAnswer(Answer):
    """Repeat the recorded answer of a completed request."""

    def __init__(self, head: ResponseHead, body: bytes):
        """Create an answer from the head and the body of a record."""
        self.head = head
        self.used_attempts = 0
        self._body: bytes | None = body or None

    async def read(self) -> bytes | None:
        """Return the recorded body, then None."""
        body, self._body = self._body, None
        return body

    def abort(self, problem: str) -> None:
        """Do nothing: the request has already been executed."""


class RecordingAnswer(Answer):
    """Forward an answer of the target and record it for later repeats."""

    def __init__(self, answer: Answer, executions: ExecutionTable, record: ExecutionRecord):
        """Wrap an answer.

        Args:
            answer: The answer of the target.
            executions: The table that contains the record.
            record: The record of the key.
        """
        self.head = answer.head
        self._answer = answer
        self._executions = executions
        self._record: ExecutionRecord | None = record
        self._chunks: list[bytes] = []
        self._read_bytes = 0

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end, when the record is completed."""
        try:
            data = await self._answer.read()
        except (Exception, asyncio.CancelledError):
            self._complete(None)
            raise
        if data is None:
            self.used_attempts = self._answer.used_attempts
            recordable = self._read_bytes <= BODY_LIMIT_BYTES
            self._complete(b"".join(self._chunks) if recordable else None)
            return None
        self._read_bytes += len(data)
        if self._read_bytes <= BODY_LIMIT_BYTES:
            self._chunks.append(data)
        else:
            self._chunks.clear()
        return data

    def receive_rest_nowait(self) -> bytes | None:
        """Return and record the body if all of it has been received, else return None."""
        body = self._answer.receive_rest_nowait()
        if body is not None:
            self.used_attempts = self._answer.used_attempts
            self._complete(body)
        return body

    def _complete(self, body: bytes | None) -> None:
        record, self._record = self._record, None
        if record is not None:
            self._executions.complete(record, self.head.status, self.head.headers, body)

    def abort(self, problem: str) -> None:
        """Record that the request was executed, without its body, and abort the answer."""
        self._complete(None)
        self._answer.abort(problem)
