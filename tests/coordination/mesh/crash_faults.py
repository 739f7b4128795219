"""Send a request that crashes the targets that run it, in a soak."""

from gentianthread.standins.mesh import Behaviour, answer_sealed, crash_on

from .soak_caller import Call

# Path of the request, and how often the callers send it.
POISON = "/stock/poison"
POISON_FRACTION = 0.03

# Time after which a crashed target serves again.
DOWN_S = 0.5

# The users' rule: this long after a request has crashed the third target, at most so many of its
# retries reach targets.
CONTACT_S = 3.0
LATE_RETRIES = 3


class CrashFaults:
    """Let one request, sent again and again at any node, crash each target that runs it."""

    # The rule speaks of the time from `CONTACT_S` after the third crash.
    faults_s = CONTACT_S + 4.0

    def _make_call(self) -> Call:
        call = super()._make_call()
        if self._injecting and self.random.random() < POISON_FRACTION:
            call.method, call.path, call.body = "GET", POISON, b""
        return call

    def _wrap_behaviour(self, behaviour: Behaviour) -> Behaviour:
        return crash_on(POISON, DOWN_S, behaviour)

    async def _run_caller(self) -> None:
        for instance in self.fleet.instances.values():
            instance.target.behave = self._wrap_behaviour(answer_sealed)
        await super()._run_caller()

    def _check(self) -> None:
        """Check also how often the request reached targets."""
        super()._check()
        runs_s = sorted(
            time_s
            for instance in self.fleet.instances.values()
            for request, time_s in zip(instance.target.seen, instance.target.seen_at_s, strict=True)
            if request.target == POISON
        )
        late = [time_s for time_s in runs_s[3:] if time_s > runs_s[2] + CONTACT_S]
        if len(late) > LATE_RETRIES:
            self.violations.append(
                f"{len(late)} of {len(runs_s)} runs of {POISON} came too late after the third"
            )
