"""Show the request path of a small fleet: calls, refusals, a withdrawn key and a graceful stop."""

import asyncio
import time
from collections import Counter

import aiohttp
import attrs

from .fleet import Fleet, key_of, make_plan
from .target import Behaviour, pattern

SERVICES = {"catalogue": 2, "pricing": 2, "orders": 1}
ORGANISATIONS = ("alpha", "beta")
CALLERS = 16
CALLS = 40
STOP_BODY_BYTES = 40_000

# The design allows 3 s from the withdrawal in force at a node to its first refusal.
WITHDRAWAL_BOUND_MS = 3_000.0


@attrs.define
class DemoReport:
    """Hold what the demo measured.

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

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession):
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
        await self.show_withdrawal()
        await self.show_graceful_stop()
        self.check_keys()
        return self.report

    async def show_calls(self) -> None:
        """Call over one and two nodes, with an inner call, and check every answer."""
        inner = self.fleet.members["orders-0"].target
        inner.behaviour = Behaviour(inner_paths=("/pricing?id=inner",))
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
        node = self.fleet.members["catalogue-0"].node
        ticket = await node.idempotency.fetch_ticket(
            "alpha", "orders", lambda tried: self.fleet.plan.upstreams["orders-0"].upstream_id
        )
        headers = {"Idempotency-Key": ticket}
        bodies = set()
        for entry in ("catalogue-0", "pricing-0", "catalogue-1"):
            _, _, body = await self.call(entry, "/orders?id=order", method="POST", headers=headers)
            bodies.add(body)
        executions = self.fleet.executions("order")
        self.report.check("keyed_order_executions", executions, executions == 1)
        self.report.check("keyed_order_answers", len(bodies), len(bodies) == 1)

    async def show_withdrawal(self) -> None:
        """Withdraw a key under a connected caller and measure the delay of its refusal."""
        await self.call("catalogue-0", "/catalogue", organisation="beta")
        started_s = time.monotonic()
        withdrawn = frozenset({"beta"})
        self.fleet.publish(make_plan(SERVICES, ORGANISATIONS, version=2, withdrawn=withdrawn))
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
        await self.fleet.members["pricing-0"].node.stop_gracefully()
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


def _expected(name: str, size: int) -> bytes:
    block = pattern(name, 16 * 1024)
    return (block * (size // len(block) + 1))[:size]


async def run_demo() -> DemoReport:
    """Run the demo on a fleet over links and return its report."""
    fleet = Fleet(make_plan(SERVICES, ORGANISATIONS, slots=64), links=True)
    await fleet.start()
    try:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await Demo(fleet, session).run()
    finally:
        await fleet.stop()
