"""Read and watch the platform's configuration service and its instance list."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from ..errors import PlatformUnavailable
from ..ids import AvailabilityZoneId, UpstreamId
from ..registry import Registry

# The service answers in milliseconds; a longer wait means that it or the connection is gone.
READ_TIMEOUT_MS = 1_000

# Longest wait of one watch. With the read timeout it bounds how long a silent connection hides a
# change: 1.5 s of the 3 s in which a version must be in force. Two watchers in each of 8 zones then
# cost 32 reads/s of the 2,000 that the service allows.
WATCH_WAIT_MS = 500

# The platform holds values of at most 1 MB; anything longer is refused before it fills memory.
VALUE_LIMIT_BYTES = 1_000_000

# Platform adapters by the name that settings choose.
platforms: Registry[type["Platform"]] = Registry("platform")


@attrs.frozen
class PlatformValue:
    """Hold a value as read.

    Attributes:
        data: The bytes.
        revision: Opaque mark that differs between two values of the same key.
    """

    data: bytes = attrs.field(repr=False)
    revision: str


@attrs.frozen
class ListedInstance:
    """Describe one entry of the instance list.

    Attributes:
        upstream_id: Upstream whose target and node the instance runs.
        availability_zone: Where it is.
        host: IP address of the instance.
        peer_port: Port of its node's peer listener.
        leaving: Whether the platform is about to stop it.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    host: str = "127.0.0.1"
    peer_port: int = 0
    leaving: bool = False


@attrs.frozen
class InstanceList:
    """Hold the instance list as read.

    Attributes:
        revision: Rises with every change; tells an outdated copy from a newer one.
        instances: The entries.
    """

    revision: int
    instances: tuple[ListedInstance, ...] = ()


class Platform(ABC):
    """Read the platform. Nothing here writes, and every wait is bounded."""

    @classmethod
    @abstractmethod
    def connect(cls, base_url: str, source_address: str | None) -> "Platform":
        """Return an adapter for the platform that the settings of a node name.

        Args:
            base_url: Where the platform is.
            source_address: IP address that connections come from, or None for any.
        """

    @abstractmethod
    async def read(self, key: str) -> PlatformValue | None:
        """Return a value, or None if the key has none.

        Raises:
            PlatformUnavailable: The service failed or did not answer in time.
        """

    @abstractmethod
    async def watch(
        self, key: str, known: str | None, wait_ms: float = WATCH_WAIT_MS
    ) -> PlatformValue | None:
        """Wait for a value other than the known one.

        Args:
            key: The key.
            known: Revision that is known, or None for none.
            wait_ms: Longest wait at the service, in ms.

        Returns:
            The other value, or None if there was none in time.

        Raises:
            PlatformUnavailable: The service failed or did not answer in time.
        """

    @abstractmethod
    async def list_instances(self) -> InstanceList:
        """Return the instance list; it lags behind.

        Raises:
            PlatformUnavailable: The service failed or did not answer in time.
        """

    @abstractmethod
    async def close(self) -> None:
        """Give up connections."""


@attrs.define
class PlatformFaults:
    """Set how the service misbehaves.

    Attributes:
        down: Every read fails at once, also those that wait.
        silent: No read is answered.
        stale: Reads show the content at the time when this was set.
        delay_ms: Delay of every answer.
    """

    down: bool = False
    silent: bool = False
    stale: bool = False
    delay_ms: float = 0.0


class PlatformState:
    """Hold the content of a platform service that tests and the stand-in control.

    Attributes:
        reads: Reads so far; a waiting watch counts once.
        faults: Present faults; set them with `set_faults`.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.faults = PlatformFaults()
        self._values: dict[str, PlatformValue] = {}
        self._instances = InstanceList(0)
        self._stale_values: dict[str, PlatformValue] = {}
        self._stale_instances = self._instances
        self._revision = 0
        self._changed = asyncio.Event()

    def publish(self, values: Mapping[str, bytes]) -> None:
        """Set values in the order of the mapping."""
        for key, data in values.items():
            self._revision += 1
            self._values[key] = PlatformValue(data, str(self._revision))
        self._wake()

    def remove(self, key: str) -> None:
        """Remove a value."""
        self._values.pop(key, None)

    def set_instances(self, instances: tuple[ListedInstance, ...]) -> None:
        """Replace the instance list."""
        self._instances = InstanceList(self._instances.revision + 1, instances)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Change how the service misbehaves."""
        if faults.stale and not self.faults.stale:
            self._stale_values = dict(self._values)
            self._stale_instances = self._instances
        self.faults = faults
        self._wake()

    async def read(self, key: str) -> PlatformValue | None:
        """Serve one read."""
        await self._begin("read")
        return self._value(key)

    async def watch(self, key: str, known: str | None, wait_ms: float) -> PlatformValue | None:
        """Serve one watch."""
        await self._begin("watch")
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            changed = self._changed
            value = self._value(key)
            if value is not None and value.revision != known:
                return value
            try:
                async with asyncio.timeout_at(end):
                    await changed.wait()
            except TimeoutError:
                return None
            await self._misbehave("watch")

    async def list_instances(self) -> InstanceList:
        """Serve one read of the instance list."""
        await self._begin("list")
        return self._stale_instances if self.faults.stale else self._instances

    def _value(self, key: str) -> PlatformValue | None:
        return (self._stale_values if self.faults.stale else self._values).get(key)

    async def _begin(self, operation: str) -> None:
        self.reads += 1
        await self._misbehave(operation)

    async def _misbehave(self, operation: str) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.silent:
            await asyncio.get_running_loop().create_future()
        if self.faults.down:
            raise PlatformUnavailable(operation, "down")

    def _wake(self) -> None:
        # Each change ends the event that present watches wait for and starts the next one.
        self._changed.set()
        self._changed = asyncio.Event()


@platforms.register("memory")
class MemoryPlatform(Platform):
    """Read a `PlatformState` in the same process."""

    def __init__(self, state: PlatformState, read_timeout_ms: float = READ_TIMEOUT_MS):
        """Create an adapter.

        Args:
            state: The content; several adapters can share it.
            read_timeout_ms: Longest wait for an answer, in ms.
        """
        self.state = state
        self._read_timeout_ms = read_timeout_ms

    @classmethod
    def connect(cls, base_url: str, source_address: str | None) -> "MemoryPlatform":
        """Return an adapter of an empty platform; there is nothing to connect to."""
        return cls(PlatformState())

    async def read(self, key: str) -> PlatformValue | None:
        """Read from the state."""
        return await self._bounded("read", self.state.read(key), 0.0)

    async def watch(
        self, key: str, known: str | None, wait_ms: float = WATCH_WAIT_MS
    ) -> PlatformValue | None:
        """Watch the state."""
        return await self._bounded("watch", self.state.watch(key, known, wait_ms), wait_ms)

    async def list_instances(self) -> InstanceList:
        """Read the list of the state."""
        return await self._bounded("list", self.state.list_instances(), 0.0)

    async def close(self) -> None:
        """Do nothing."""

    async def _bounded(self, operation: str, work, wait_ms: float):
        limit_ms = wait_ms + self._read_timeout_ms
        try:
            async with asyncio.timeout(limit_ms / 1000):
                return await work
        except TimeoutError:
            raise PlatformUnavailable(operation, f"no answer in {limit_ms:g} ms") from None
