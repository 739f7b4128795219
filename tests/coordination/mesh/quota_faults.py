"""Let one organisation send many times its rate to all nodes, while many of them are killed."""

import asyncio

from gentianthread.platform.documents import PLAN_KEY
from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import plan_document

# The organisation over its rate, its key, and how many times its rate it sends.
HOT = "hot"
HOT_KEY = "key-hot"
HOT_RATE_PER_S = 30
HOT_BURST = 30
HOT_FACTOR = 7.5

# Interval between the kills of many processes, and the fraction of them.
HERD_INTERVAL_S = (0.5, 2.5)
HERD_FRACTION = 0.55

# The users' rule: in each window at most the factor times what rate and burst allow, and the slack.
QUOTA_WINDOW_S = 5.0
QUOTA_FACTOR = 1.25
QUOTA_SLACK = 20


class QuotaFaults:
    """Add an organisation far over its rate, and kills of most nodes at once, to a soak."""

    # Longer than a window, so that the excess of several faults adds up within one.
    faults_s = 3 * QUOTA_WINDOW_S

    async def play(self) -> None:
        """Play the faults beside the requests of the organisation."""
        document = plan_document(2)
        document["tenants"][HOT] = {
            "api_keys": [HOT_KEY],
            "priority": 2,
            "rate_per_s": HOT_RATE_PER_S,
            "burst": HOT_BURST,
        }
        load = asyncio.ensure_future(self._send_hot(document))
        try:
            await super().play()
        finally:
            load.cancel()

    async def _send_hot(self, document: dict) -> None:
        """Send the requests of the organisation, at random times, to nodes that listen."""
        while not self.calls:  # noqa: ASYNC110  # The first call shows that all sidecars listen.
            await asyncio.sleep(0.1)
        self.fleet.store.put(PLAN_KEY, document)
        await asyncio.sleep(2.0)
        herds = asyncio.ensure_future(self._kill_herds())
        while self._injecting:
            call = self._make_call()
            call.key = HOT_KEY
            self._tasks.append(asyncio.ensure_future(self._send_alone(call)))
            await asyncio.sleep(self.random.expovariate(HOT_FACTOR * HOT_RATE_PER_S))
        await herds

    async def _kill_herds(self) -> None:
        while self._injecting:
            await asyncio.sleep(self.random.uniform(*HERD_INTERVAL_S))
            names = sorted(self.fleet.instances)
            count = round(HERD_FRACTION * len(names))
            await asyncio.gather(*(self._kill(name) for name in self.random.sample(names, count)))

    def _check(self) -> None:
        """Check also how many requests of the organisation ran in any window."""
        super()._check()
        times_s = sorted(
            time_s
            for instance in self.fleet.instances.values()
            for request, time_s in zip(instance.target.seen, instance.target.seen_at_s, strict=True)
            if request.find(DIALECT.organisation.lower()) == HOT
        )
        most = max(
            (sum(at_s <= time_s < at_s + QUOTA_WINDOW_S for time_s in times_s) for at_s in times_s),
            default=0,
        )
        allowed = (HOT_RATE_PER_S * QUOTA_WINDOW_S + HOT_BURST) * QUOTA_FACTOR + QUOTA_SLACK
        if most > allowed:
            self.violations.append(
                f"{most} requests of {HOT} ran in a window, {allowed} are allowed"
            )
        self._most_in_window = most

    def summary(self) -> str:
        """Return how many requests of the organisation ran in a window at the most."""
        return f" most_in_window={self._most_in_window}"
