"""Define the interface for reading the platform's configuration service and instance list."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from ..errors import PlatformUnavailable
from ..ids import AvailabilityZoneId, UpstreamId
from ..registry import Registry
from ..state.revisions import combine_revision, format_revision, number_of

# Timeout of a read. The service responds in milliseconds unless it or the connection has failed.
READ_TIMEOUT_MS = 1_000

# Longest wait of one watch. Together with the read timeout, it limits how long a dead connection
# delays a change: 1.5 s of the 3 s in which a version must be in force. Two watchers in each of
# 8 availability zones then cost 32 reads/s of the 2,000 that the service allows.
WATCH_WAIT_MS = 500

# The platform stores values of at most 1 MB; a longer response is rejected before it fills memory.
VALUE_LIMIT_BYTES = 1_000_000

# Platform adapters by their names in the settings.
platforms: Registry[type["Platform"]] = Registry("platform")


@attrs.frozen
class PlatformValue:
    """Store a value as read.

    Attributes:
        data: Content of the value.
        revision: Opaque text that differs between two values of the same key.
    """

    data: bytes = attrs.field(repr=False)
    revision: str


@attrs.frozen
class ListedInstance:
    """Describe one entry of the instance list.

    Attributes:
        upstream_id: Upstream whose target and node the instance runs.
        availability_zone: Availability zone of the instance.
        host: IP address of the instance.
        peer_port: TCP port on which its node accepts peers.
        leaving: Whether the platform is about to stop it.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    host: str = "127.0.0.1"
    peer_port: int = 0
    leaving: bool = False


@attrs.frozen
class InstanceList:
    """Store the instance list as read.

    Attributes:
        revision: Number that increases with every change, by which outdated copies are detected;
            an ordered revision of `state.revisions` if the service was restored from a copy.
        instances: The entries.
        problems: Descriptions of the entries that were left out, as they cannot be used.
    """

    revision: int
    instances: tuple[ListedInstance, ...] = ()
    problems: tuple[str, ...] = attrs.field(default=(), eq=False)


class Platform(ABC):
    """Read from the platform, with a timeout for each call; nothing is written."""

    @classmethod
    @abstractmethod
    def connect(cls, base_url: str, source_address: str | None) -> "Platform":
        """Create an adapter for the platform in the settings of a node.

        Args:
            base_url: URL of the platform.
            source_address: Local IP address of the connections, or None for any.
        """

    @abstractmethod
    async def read(self, key: str) -> PlatformValue | None:
        """Return the value of a key, or None if it has none.

        Raises:
            PlatformUnavailable: The service failed or did not respond in time.
        """

    @abstractmethod
    async def watch(
        self, key: str, known: str | None, wait_ms: float = WATCH_WAIT_MS
    ) -> PlatformValue | None:
        """Wait until the value of a key has another revision than the known one.

        Args:
            key: The key.
            known: The known revision, or None if none is known.
            wait_ms: Longest time that the service waits.

        Returns:
            The new value, or None if there was none in time.

        Raises:
            PlatformUnavailable: The service failed or did not respond in time.
        """

    @abstractmethod
    async def list_instances(self) -> InstanceList:
        """Return the instance list, which may be out of date.

        Raises:
            PlatformUnavailable: The service failed or did not respond in time.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


@attrs.define
class PlatformFaults:
    """Configure the injected faults of the service.

    Attributes:
        down: Whether reads fail at once, including pending watches.
        silent: Whether reads get no response.
        stale: Whether reads return the content from when this was set.
        delay_ms: Delay of each response.
    """

    down: bool = False
    silent: bool = False
    stale: bool = False
    delay_ms: float = 0.0


@attrs.frozen
class PlatformCopy:
    """Store a copy of the content of a service.

    Attributes:
        values: Values by key.
        instances: The instance list.
        revision: Revision of the last published value.
    """

    values: dict[str, PlatformValue]
    instances: InstanceList
    revision: int


class PlatformState:
    """Store the content and faults of a platform service for tests and the stand-in.

    Attributes:
        reads: Number of reads so far; each watch counts as one.
        faults: Current faults; change them with `set_faults`.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.faults = PlatformFaults()
        self._era = 0
        self._values: dict[str, PlatformValue] = {}
        self._instances = InstanceList(0)
        self._stale_values: dict[str, PlatformValue] = {}
        self._stale_instances = self._instances
        self._revision = 0
        self._changed = asyncio.Event()

    def publish(self, values: Mapping[str, bytes]) -> None:
        """Set values, in the order of the mapping."""
        for key, data in values.items():
            self._revision += 1
            revision = format_revision(combine_revision(self._era, self._revision))
            self._values[key] = PlatformValue(data, revision)
        self._notify_watches()

    def remove(self, key: str) -> None:
        """Remove a value."""
        self._values.pop(key, None)

    def set_instances(self, instances: tuple[ListedInstance, ...]) -> None:
        """Replace the instance list."""
        self._instances = InstanceList(self._instances.revision + 1, instances)

    def copy(self) -> PlatformCopy:
        """Return a copy of the content, for `restore`."""
        return PlatformCopy(dict(self._values), self._instances, self._revision)

    def restore(self, copy: PlatformCopy) -> None:
        """Come back from a copy; revisions after it are given out again, in another era."""
        self._era += 1
        self._values, self._revision = dict(copy.values), copy.revision
        revision = combine_revision(self._era, number_of(copy.instances.revision))
        self._instances = InstanceList(revision, copy.instances.instances)
        self._notify_watches()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the injected faults."""
        if faults.stale and not self.faults.stale:
            self._stale_values = dict(self._values)
            self._stale_instances = self._instances
        self.faults = faults
        self._notify_watches()

    async def read(self, key: str) -> PlatformValue | None:
        """Handle a read."""
        await self._handle_read("read")
        return self._value(key)

    async def watch(self, key: str, known: str | None, wait_ms: float) -> PlatformValue | None:
        """Handle a watch."""
        await self._handle_read("watch")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1000
        while True:
            changed = self._changed
            value = self._value(key)
            if value is not None and value.revision != known:
                return value
            try:
                async with asyncio.timeout_at(deadline_s):
                    await changed.wait()
            except TimeoutError:
                return None
            await self._apply_faults("watch")

    async def list_instances(self) -> InstanceList:
        """Handle a read of the instance list."""
        await self._handle_read("list")
        return self._stale_instances if self.faults.stale else self._instances

    def _value(self, key: str) -> PlatformValue | None:
        return (self._stale_values if self.faults.stale else self._values).get(key)

    async def _handle_read(self, operation: str) -> None:
        self.reads += 1
        await self._apply_faults(operation)

    async def _apply_faults(self, operation: str) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.silent:
            await asyncio.get_running_loop().create_future()
        if self.faults.down:
            raise PlatformUnavailable(operation, "down")

    def _notify_watches(self) -> None:
        # Wakes all pending watches; later ones wait for a new event.
        self._changed.set()
        self._changed = asyncio.Event()


@platforms.register("memory")
class MemoryPlatform(Platform):
    """Read a `PlatformState` in the same process."""

    def __init__(self, state: PlatformState, read_timeout_ms: float = READ_TIMEOUT_MS):
        """Create an adapter.

        Args:
            state: Content of the platform, which several adapters can share.
            read_timeout_ms: Timeout of a read.
        """
        self.state = state
        self._read_timeout_ms = read_timeout_ms

    @classmethod
    def connect(cls, base_url: str, source_address: str | None) -> "MemoryPlatform":
        """Create an adapter of an empty platform; there is nothing to connect to."""
        return cls(PlatformState())

    async def read(self, key: str) -> PlatformValue | None:
        """Read from the state."""
        return await self._read_with_timeout("read", self.state.read(key), 0.0)

    async def watch(
        self, key: str, known: str | None, wait_ms: float = WATCH_WAIT_MS
    ) -> PlatformValue | None:
        """Watch the state."""
        return await self._read_with_timeout(
            "watch", self.state.watch(key, known, wait_ms), wait_ms
        )

    async def list_instances(self) -> InstanceList:
        """Read the instance list of the state."""
        return await self._read_with_timeout("list", self.state.list_instances(), 0.0)

    async def close(self) -> None:
        """Do nothing."""

    async def _read_with_timeout(self, operation: str, awaitable, wait_ms: float):
        timeout_ms = wait_ms + self._read_timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await awaitable
        except TimeoutError:
            raise PlatformUnavailable(operation, f"no answer in {timeout_ms:g} ms") from None
