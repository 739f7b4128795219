"""Show what a small fleet does: calls, refusals, a surge, a withdrawn key, a graceful stop."""

import asyncio
import time
from collections import Counter

import aiohttp
import attrs

from ..ids import OrganisationId, Priority, ServiceId, UpstreamId
from ..state.plan import Plan
from .callers import Callers
from .fleet import key_of, make_plan
from .results import Result, Results
from .service_fleet import ServiceFleet
from .target import Behaviour, pattern
from .workload import RequestStream, Workload

ZONES = ("larisa-a", "larisa-b", "volos-a", "trikala-a")
SERVICES = {"catalogue": 4, "pricing": 2, "orders": 2}
ORGANISATIONS = ("alpha", "beta")
CALLERS = 16
CALLS = 40
STOP_BODY_BYTES = 40_000

# Each target runs 4 requests at once in 100 ms each, so four of them serve 160 look-ups/s.
SLOTS = 4
SURGE_SERVICE_MS = 100.0
SURGE_S = (3.0, 6.0)
SURGE_RUN_S = 10.0
SURGE_FACTOR = 4.0

# The design allows 3 s from the withdrawal in force at a node to its first refusal.
WITHDRAWAL_BOUND_MS = 3_000.0


@attrs.define
class DemoReport:
    """Store what the demo measured.

    Attributes:
        values: Figures by name.
        failures: Checks that did not hold.
    """

    values: dict[str, object] = attrs.field(factory=dict)
    failures: list[str] = attrs.field(factory=list)

    def check(self, name: str, value: object, holds: bool) -> None:
        """Record a figure and whether it is as it must be."""
        self.values[name] = value
        if not holds:
            self.failures.append(name)


class Demo:
    """Run the steps of the demo on one fleet."""

    def __init__(self, fleet: ServiceFleet, session: aiohttp.ClientSession):
        """Create a demo on a running fleet."""
        self.fleet = fleet
        self.session = session
        self.report = DemoReport()

    async def call(
        self,
        entry: str,
        path: str,
        *,
        organisation: str | None = "alpha",
        method: str = "GET",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, str, bytes]:
        """Send one request and return status, refusal and body."""
        fields = dict(headers or {})
        if organisation is not None:
            fields["Authorization"] = f"Bearer {key_of(organisation)}"
        url = f"{self.fleet.members[entry].url}{path}"
        async with self.session.request(method, url, headers=fields) as answer:
            body = await answer.read()
            return answer.status, answer.headers.get("Gentian-Refusal", ""), body

    async def run(self) -> DemoReport:
        """Run all steps."""
        await self.show_calls()
        await self.show_refusals()
        await self.show_idempotency()
        await self.show_surge()
        await self.show_withdrawal()
        await self.show_graceful_stop()
        self.check_keys()
        return self.report

    async def show_calls(self) -> None:
        """Call over one and two nodes, with an inner call, and check every answer."""
        for name in ("orders-0", "orders-1"):
            target = self.fleet.members[name].target
            target.behaviour = Behaviour(inner_paths=("/pricing?id=inner",))
        whole = 0
        for number in range(CALLS):
            path = ("/catalogue", "/pricing", "/orders")[number % 3]
            name, size = f"call{number}", 10 + number * 997
            status, _, body = await self.call("catalogue-0", f"{path}?id={name}&size={size}")
            whole += status == 200 and body == _expected(name, size)
        self.report.check("calls_whole", f"{whole} of {CALLS}", whole == CALLS)
        executions = self.fleet.executions("inner")
        self.report.check("inner_calls", executions, executions == CALLS // 3)

    async def show_refusals(self) -> None:
        """Provoke refusals and count them by reason."""
        leaked_path = f"/pricing?key={key_of('alpha')}"
        cases = (
            ("/pricing", {"organisation": None}, "key_missing"),
            ("/pricing", {"organisation": "nobody"}, "key_unknown"),
            (leaked_path, {}, "key_misplaced"),
            ("/nowhere", {}, "route_unknown"),
            ("/pricing", {"headers": {"Gentian-Context": "0" * 32}}, "context_unknown"),
            ("/pricing", {"headers": {"Gentian-Deadline-Ms": "0"}}, "deadline_exceeded"),
            ("/pricing", {"headers": {"Gentian-Deadline-Ms": "soon"}}, "header_invalid"),
        )
        refusals: Counter[str] = Counter()
        for path, options, expected in cases:
            _, reason, _ = await self.call("catalogue-0", path, **options)
            refusals[reason] += 1
            if reason != expected:
                self.report.failures.append(f"refusal {expected}")
        for reason, number in sorted(refusals.items()):
            self.report.values[f"refused.{reason}"] = number

    async def show_idempotency(self) -> None:
        """Send one keyed order three times and count its executions."""
        idempotency = self.fleet.members["catalogue-0"].services.node.idempotency
        ticket = await idempotency.fetch_ticket(
            OrganisationId("alpha"), ServiceId("orders"), lambda tried: UpstreamId("orders-0")
        )
        headers = {"Idempotency-Key": ticket}
        bodies = set()
        for entry in ("catalogue-0", "pricing-0", "catalogue-1"):
            _, _, body = await self.call(entry, "/orders?id=order", method="POST", headers=headers)
            bodies.add(body)
        executions = self.fleet.executions("order")
        self.report.check("keyed_order_executions", executions, executions == 1)
        self.report.check("keyed_order_answers", len(bodies), len(bodies) == 1)

    async def show_surge(self) -> None:
        """Send look-ups at four times their rate for a while, beside orders."""
        for name, member in self.fleet.members.items():
            calls = ("/pricing?id=inner",) if name.startswith("orders") else ()
            member.target.behaviour = Behaviour(service_ms=SURGE_SERVICE_MS, inner_paths=calls)
        entries = tuple(member.url for member in self.fleet.members.values())
        streams = (
            _stream("look-ups", "alpha", Priority.NORMAL, "GET", "/catalogue", 60.0, SURGE_FACTOR),
            _stream("orders", "beta", Priority.IMPORTANT, "POST", "/orders", 8.0, 1.0),
        )
        workload = Workload(entries, SURGE_RUN_S, *SURGE_S, streams)
        results = await Callers(workload, seed=1).run()
        self._report_surge(results)

    def _report_surge(self, results: Results) -> None:
        phases = {
            "before": (1.0, SURGE_S[0]),
            "during": SURGE_S,
            "after": (SURGE_S[1] + 1.0, SURGE_RUN_S),
        }
        for name, organisation in (("lookups", "alpha"), ("orders", "beta")):
            for phase, (start_s, end_s) in phases.items():
                found = [
                    sample
                    for sample in results.samples
                    if sample.organisation == organisation and start_s <= sample.started_s < end_s
                ]
                whole = sum(sample.result is Result.COMPLETE for sample in found)
                goodput = f"{whole / (end_s - start_s):.1f} of {len(found) / (end_s - start_s):.1f}"
                self.report.values[f"surge.{name}.{phase}.goodput_per_s"] = goodput
        reasons = Counter(sample.reason for sample in results.samples if sample.reason)
        for reason, number in sorted(reasons.items()):
            self.report.values[f"surge.refused.{reason}"] = number
        corrupt = sum(sample.result is Result.CORRUPT for sample in results.samples)
        self.report.check("surge.corrupt", corrupt, corrupt == 0)

    async def show_withdrawal(self) -> None:
        """Withdraw a key under a connected caller and measure the delay of its refusal."""
        await self.call("catalogue-0", "/catalogue", organisation="beta")
        started_s = time.monotonic()
        withdrawn = frozenset({"beta"})
        self.fleet.publish(_make_plan(version=2, withdrawn=withdrawn))
        reason = ""
        while reason != "key_unknown" and time.monotonic() - started_s < 5:
            _, reason, _ = await self.call("catalogue-0", "/catalogue", organisation="beta")
        delay_ms = (time.monotonic() - started_s) * 1000
        self.report.check("withdrawal_delay_ms", f"{delay_ms:.1f}", delay_ms < WITHDRAWAL_BOUND_MS)

    async def show_graceful_stop(self) -> None:
        """Stop a target's node while callers send requests, and count cut requests."""
        for member in self.fleet.members.values():
            member.target.behaviour = Behaviour(service_ms=20, body_bytes=STOP_BODY_BYTES)
        results: Counter[str] = Counter()
        callers = [asyncio.ensure_future(self._send_many(n, results)) for n in range(CALLERS)]
        await asyncio.sleep(0.2)
        await self.fleet.stop_gracefully("pricing-0")
        await asyncio.gather(*callers)
        for name in ("answered", "refused"):
            self.report.values[f"stop.{name}"] = results[name]
        self.report.check("stop.cut", results["cut"], results["cut"] == 0)

    async def _send_many(self, number: int, results: Counter[str]) -> None:
        for step in range(CALLS):
            name = f"stop{number}-{step}"
            try:
                status, reason, body = await self.call("catalogue-0", f"/pricing?id={name}")
            except aiohttp.ClientError:
                results["cut"] += 1
                continue
            whole = status == 200 and body == _expected(name, STOP_BODY_BYTES)
            results["answered" if whole else "refused" if reason else "cut"] += 1

    def check_keys(self) -> None:
        """Look for keys in everything that the targets saw."""
        seen = [one for member in self.fleet.members.values() for one in member.target.seen]
        leaked = sum("gtk_" in repr(one) for one in seen)
        self.report.check("requests_at_targets", len(seen), len(seen) > 0)
        self.report.check("keys_at_targets", leaked, leaked == 0)


def _stream(
    name: str,
    organisation: str,
    priority: Priority,
    method: str,
    path: str,
    rate_per_s: float,
    surge_factor: float,
) -> RequestStream:
    return RequestStream(
        name=name,
        organisation=organisation,
        priority=priority,
        method=method,
        path=path,
        key=key_of(organisation),
        rate_per_s=rate_per_s,
        body_bytes=0,
        deadline_ms=1_000.0,
        retries=1,
        retry_wait_ms=100.0,
        ticket_service="",
        surge_factor=surge_factor,
    )


def _make_plan(version: int = 1, withdrawn: frozenset[str] = frozenset()) -> Plan:
    return make_plan(
        SERVICES, ORGANISATIONS, version=version, slots=SLOTS, withdrawn=withdrawn, zones=ZONES
    )


def _expected(name: str, size: int) -> bytes:
    block = pattern(name, 16 * 1024)
    return (block * (size // len(block) + 1))[:size]


async def run_demo() -> DemoReport:
    """Run the demo on a fleet of whole nodes and return its report."""
    fleet = ServiceFleet(_make_plan())
    try:
        await fleet.start()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await Demo(fleet, session).run()
    finally:
        await fleet.stop()
