"""Run a mesh of real sidecars through a seeded schedule of faults and check its invariants.

`python -m tests.coordination.mesh.soak --seeds 50` plays seeds 0 to 49 and prints all violations.
The checks compare what targets ran with what callers received; they don't rely on the state that
sidecars report.
"""

import argparse
import asyncio
import hashlib
import itertools
import sys
from random import Random

from gentianthread.clock import SystemClock
from gentianthread.coordination.mesh.process import stop_gracefully
from gentianthread.coordination.mesh.sidecar import Sidecar
from gentianthread.platform.documents import UPSTREAM_PREFIX
from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import Behaviour, MeshFleet, answer_sealed, break_off, fail

from .crash_faults import CrashFaults
from .evacuation_faults import EvacuationFaults
from .refusal_faults import RefusalFaults
from .soak_caller import CALLER_SLACK_MS, CALLER_TIMEOUT_MS, Call, Connections, run_within
from .store_and_limit_faults import NoticePeriod, StoreAndLimitFaults

SERVICES = ("catalogue", "orders")
INSTANCES_PER_SERVICE = 3
ZONES = ("a", "b")

# Duration of the faults, and time after the last fault within which every request must succeed.
FAULTS_S = 4.0
RECOVERY_S = 3.0

CALLERS = 8
RECOVERY_CALLS = 40

# On a slow host faults go on until so many requests were made and so many of them succeeded, but
# not longer than `MAX_FAULTS_S`.
MIN_CALLS = 500
MIN_SUCCESSES = 400
MAX_FAULTS_S = 20.0
FAULT_INTERVAL_S = (0.05, 0.25)

# Seeds that have failed before, with the cause.
REGRESSIONS = {
    0: "the overload level of an idle target stayed, and entries refused callers by it",
    1: "as seed 0",
    19: "503 three seconds after the last fault, as with seed 0",
    **dict.fromkeys(
        (2, 3),
        "a copy of a refusal answered the next attempt of its request; of refusals",
    ),
}

# Statuses by which a node says that no upstream has run the request.
NOT_RUN = frozenset((401, 404, 408, 421, 429, 503))


async def answer_without_seal(target, request):
    """Answer without the seal that proves the answer of a target."""
    answer = await answer_sealed(target, request)
    answer.headers = [pair for pair in answer.headers if pair[0] != DIALECT.seal]
    return answer


async def answer_slowly(target, request):
    """Answer after a delay."""
    await asyncio.sleep(0.4)
    return await answer_sealed(target, request)


BEHAVIOURS = (fail, break_off, answer_without_seal, answer_slowly)


class Soak:
    """Run the schedule of one seed.

    Attributes:
        instances_per_service: Number of instances of each service; set before `play`.
        violations: Descriptions of the invariants that did not hold.
        recovery_s: Time after the last fault within which every request must succeed.
        faults_s: Duration of the faults.
        order_fraction: Fraction of the requests that may run only once.
        restarted: Names of upstreams whose sidecar was restarted or stopped.
    """

    recovery_s = RECOVERY_S
    faults_s = FAULTS_S
    instances_per_service = INSTANCES_PER_SERVICE
    order_fraction = 0.3

    def __init__(self, seed: int):
        """Prepare a run without starting it; see `play`."""
        self.random = Random(seed)
        self.fleet = self._make_fleet(seed)
        self.calls: list[Call] = []
        self.violations: list[str] = []
        self.restarted: set[str] = set()
        self.faults = 0
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        self._injecting = True

    def _make_fleet(self, seed: int) -> MeshFleet:
        return MeshFleet()

    async def play(self) -> None:
        """Start a mesh, run callers and inject faults, then check recovery and invariants."""
        await self.fleet.start(dict.fromkeys(SERVICES, self.instances_per_service), ZONES)
        callers = [asyncio.ensure_future(self._run_caller()) for _ in range(CALLERS)]
        started_s = asyncio.get_running_loop().time()
        while self._injects_faults(asyncio.get_running_loop().time() - started_s):
            self._tasks.append(asyncio.ensure_future(self._inject_fault()))
            self.faults += 1
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_S))
        await asyncio.gather(*self._tasks)
        self._injecting = False
        await asyncio.gather(*callers)
        await self._check_recovery()
        self._check()
        await self.fleet.stop()

    def _injects_faults(self, elapsed_s: float) -> bool:
        successes = sum(call.status == 200 for call in self.calls)
        has_enough_calls = len(self.calls) > MIN_CALLS and successes > MIN_SUCCESSES
        return elapsed_s < self.faults_s or (elapsed_s < MAX_FAULTS_S and not has_enough_calls)

    def summary(self) -> str:
        """Return further figures of a run, for its line in the report."""
        return ""

    # Callers.

    def _make_call(self) -> Call:
        order = self.random.random() < self.order_fraction
        number = next(self._numbers)
        method, path = ("POST", f"/order/{number}") if order else ("GET", f"/stock/{number}")
        body = f"order {number}".encode() if order else b""
        return Call(
            f"s{number}", method, path, body, self.random.choice(list(self.fleet.instances))
        )

    async def _run_caller(self) -> None:
        connections = Connections()
        while self._injecting:
            call = self._make_call()
            await self._send(call, connections, disconnects=self.random.random() < 0.05)
            await asyncio.sleep(self.random.uniform(0, 0.02))
        connections.close()

    async def _send_alone(self, call: Call) -> None:
        """Send a request on a connection of its own."""
        connections = Connections()
        await self._send(call, connections)
        connections.close()

    async def _send(
        self, call: Call, connections: Connections, *, disconnects: bool = False
    ) -> None:
        self.calls.append(call)
        loop = asyncio.get_running_loop()
        call.started_s = loop.time()
        try:
            host = self.fleet.instances[call.at].target.host
            disconnects_after_s = self.random.uniform(0, 0.01) if disconnects else None
            await run_within(
                connections.exchange(call, host, disconnects_after_s),
                (CALLER_TIMEOUT_MS + CALLER_SLACK_MS) / 1000,
            )
        except TimeoutError:
            call.error = "no answer in its time"
        except (OSError, asyncio.IncompleteReadError) as error:
            call.error = repr(error)
        finally:
            call.ended_s = loop.time()

    # Faults.

    def _fault_kinds(self) -> tuple:
        return (
            self._restart,
            self._stop,
            self._reset,
            self._list_as_draining,
            self._refuse_store_calls,
        )

    async def _inject_fault(self) -> None:
        kinds = self._fault_kinds()
        kind = self._misbehave if self.random.random() < 0.4 else self.random.choice(kinds)
        await kind(self.random.choice(list(self.fleet.instances)))

    async def _restart(self, name: str) -> None:
        """Abort a sidecar without notifying its peers and start another one."""
        if name in self.restarted:
            return
        self.restarted.add(name)
        old = self.fleet.instances[name].sidecar
        for link in old.peers.links():
            link._connection.abort()
        await self._restart_after_pause(name, old)

    async def _stop(self, name: str) -> None:
        """Stop a sidecar gracefully, as on a signal, and start another one."""
        if name in self.restarted:
            return
        self.restarted.add(name)
        old = self.fleet.instances[name].sidecar
        await stop_gracefully(old, SystemClock(), 1_500.0)
        await self._restart_after_pause(name, old)

    async def _restart_after_pause(self, name: str, old: Sidecar) -> None:
        instance = self.fleet.instances[name]
        await old.stop()
        await asyncio.sleep(self.random.uniform(0, 0.4))
        settings = old.settings
        instance.sidecar = Sidecar(settings, SystemClock())
        await instance.sidecar.start()

    async def _reset(self, name: str) -> None:
        """Reset the links of a sidecar."""
        for link in self.fleet.instances[name].sidecar.peers.links():
            link._connection.abort()

    async def _misbehave(self, name: str) -> None:
        """Let a target fail, answer late or answer invalidly for a while."""
        target = self.fleet.instances[name].target
        target.behave = self._wrap_behaviour(self.random.choice(BEHAVIOURS))
        await asyncio.sleep(self.random.uniform(0.2, 0.8))
        target.behave = self._wrap_behaviour(answer_sealed)

    def _wrap_behaviour(self, behaviour: Behaviour) -> Behaviour:
        """Return what the targets of this soak do besides a behaviour."""
        return behaviour

    async def _list_as_draining(self, name: str) -> None:
        """List an upstream as draining for a while."""
        instance = self.fleet.instances[name]
        for state in ("draining", "ready"):
            self.fleet.store.put(
                UPSTREAM_PREFIX + instance.target.upstream_id,
                instance.target.entry(state, instance.zone),
            )
            await asyncio.sleep(self.random.uniform(0.2, 0.8))

    async def _refuse_store_calls(self, name: str) -> None:
        """Let the store refuse all calls for a while."""
        self.fleet.store.down = True
        self.fleet.store.wake()
        await asyncio.sleep(self.random.uniform(0.2, 0.8))
        self.fleet.store.down = False

    # Invariants.

    async def _check_recovery(self) -> None:
        """Check that every request succeeds soon after the last fault."""
        try:
            async with asyncio.timeout(self.recovery_s):
                await self.fleet.wait_ready()
        except TimeoutError:
            self.violations.append("a sidecar does not know all upstreams after the faults")
        await asyncio.sleep(self.recovery_s)
        calls = [self._make_call() for _ in range(RECOVERY_CALLS)]
        for call in calls:
            await self._send_alone(call)
            if call.status != 200:
                self.violations.append(
                    f"{call.request_id} at {call.at}: {call.status} after the faults"
                )

    def _check(self) -> None:
        runs: dict[str, int] = {}
        for name, instance in self.fleet.instances.items():
            target = instance.target
            for request_id, times in target.runs.items():
                runs[request_id] = runs.get(request_id, 0) + times
            if target.most_running > target.slots:
                self.violations.append(f"{name} ran {target.most_running} in {target.slots} slots")
            if any(seen.find(DIALECT.key.lower()) for seen in target.seen):
                self.violations.append(f"{name} saw the key of a caller")
        for call in self.calls:
            self._check_call(call, runs.get(call.request_id, 0))

    def _is_excused(self, call: Call, runs: int) -> bool:
        """Return whether a fault explains that a request got no answer."""
        return call.error != "no answer in its time" and call.at in self.restarted

    def _check_call(self, call: Call, runs: int) -> None:
        name = f"{call.request_id} {call.method} at {call.at}: {call.status}"
        if call.error and not self._is_excused(call, runs):
            self.violations.append(f"{name} {call.error}, ran {runs} times")
        max_runs = 1 if call.method == "POST" else 2
        if runs > max_runs:
            self.violations.append(f"{name}, ran {runs} times")
        if call.status in NOT_RUN and runs:
            self.violations.append(f"{name} tells that it did not run, but it ran")
        if call.fields.get(DIALECT.request_id, call.request_id) != call.request_id:
            self.violations.append(f"{name} with the id of another request")
        if call.status == 200 or DIALECT.seal in call.fields:
            seal = hashlib.sha256(call.answer).hexdigest()[:16]
            expected_end = f" {call.request_id} {call.method} {call.path} ".encode() + call.body
            if call.fields.get(DIALECT.seal) != seal or not call.answer.endswith(expected_end):
                self.violations.append(f"{name} with an answer that is not the target's")
            if call.fields.get(DIALECT.request_id) != call.request_id or not runs:
                self.violations.append(f"{name} without a run of its own")


class StoreAndLimitSoak(StoreAndLimitFaults, Soak):
    """Play all faults against sidecars in this process."""

    def _has_forgotten(self, name: str, period: NoticePeriod) -> bool:
        return name in self.restarted


class CrashSoak(CrashFaults, Soak):
    """Play all faults beside a request that crashes the targets that run it."""


class RefusalSoak(RefusalFaults, Soak):
    """Play all faults beside targets that refuse requests and write answers again."""

    async def _restart_node(self, name: str) -> None:
        await self._restart(name)


class EvacuationSoak(EvacuationFaults, Soak):
    """Play all faults while zones are evacuated and the store is restored from copies."""


# Kinds of soaks by the names that select them.
KINDS = {
    "faults": Soak,
    "store-and-limits": StoreAndLimitSoak,
    "crashes": CrashSoak,
    "refusals": RefusalSoak,
    "evacuations": EvacuationSoak,
}


def main(kinds: dict[str, type[Soak]] = KINDS, regressions: dict[int, str] = REGRESSIONS) -> int:
    """Play seeds one after the other and return 1 if an invariant was violated.

    Args:
        kinds: Classes that run a seed, by the names that select them.
        regressions: Seeds that have failed before, with the cause.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--regressions", action="store_true", help="play the seeds that failed")
    parser.add_argument("--kind", choices=sorted(kinds), default="faults")
    parser.add_argument("--instances", type=int, default=INSTANCES_PER_SERVICE, help="per service")
    options = parser.parse_args()
    kind = kinds[options.kind]
    seeds = list(range(options.first, options.first + options.seeds))
    if options.regressions:
        seeds = list(regressions)
    failed = 0
    for seed in seeds:
        soak = kind(seed)
        soak.instances_per_service = options.instances
        asyncio.run(soak.play())
        statuses = sorted({call.status for call in soak.calls})
        print(
            f"seed={seed} calls={len(soak.calls)} faults={soak.faults} statuses={statuses}"
            f"{soak.summary()}",
            flush=True,
        )
        for violation in soak.violations:
            print(f"  {violation}")
        failed += bool(soak.violations)
    print(f"{len(seeds)} seeds, {failed} broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
