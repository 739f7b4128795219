from gentianthread.transport.platforms import MemoryPlatform, PlatformState, platforms

from ..base import TestCase
from .platform_case import READ_TIMEOUT_MS, PlatformCases


class TestMemoryPlatform(PlatformCases.Shared):
    async def start(self):
        state = PlatformState()
        return state, MemoryPlatform(state, READ_TIMEOUT_MS)


class TestRegistry(TestCase):
    def test_memory_is_registered(self):
        """Guards against settings that cannot choose an adapter."""
        self.assertIs(MemoryPlatform, platforms.get("memory"))
