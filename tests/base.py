"""Provide base classes for test cases."""

import asyncio
import functools
import inspect
import unittest

import looptime
import testtools


class TestCase(testtools.TestCase):
    """Run synchronous tests."""

    def assertRaisesType(self, error_type):  # noqa: N802
        """Return a context manager that expects an error; it may enclose an `await`."""
        return unittest.TestCase.assertRaises(self, error_type)


class VirtualTimeTestCase(TestCase):
    """Run `async def test_*` methods on an event loop whose time is virtual.

    Sleeps take no real time but advance `asyncio.get_running_loop().time()` and `LoopClock`. Real
    sockets do not work on this event loop.
    """

    loop_options = {"start": 0}

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        for name, method in _coroutine_tests(cls):
            setattr(cls, name, _run_on_virtual_time(method))


class SocketTestCase(TestCase):
    """Run `async def test_*` methods on a real event loop, for tests over loopback sockets."""

    timeout_s = 30

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        for name, method in _coroutine_tests(cls):
            setattr(cls, name, _run_on_real_time(method))


def _coroutine_tests(cls):
    """Return the `async def` tests of a class, including inherited ones."""
    methods = [(name, getattr(cls, name)) for name in dir(cls) if name.startswith("test")]
    return [(name, method) for name, method in methods if inspect.iscoroutinefunction(method)]


def _run_on_virtual_time(method):
    @functools.wraps(method)
    def run(self):
        loop = looptime.new_event_loop(**self.loop_options)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(method(self))

    return run


def _run_on_real_time(method):
    @functools.wraps(method)
    def run(self):
        async def run_with_timeout():
            async with asyncio.timeout(self.timeout_s):
                await method(self)

        asyncio.run(run_with_timeout())

    return run
