"""Create the event loop of a sidecar."""

import asyncio
import os

import uvloop

# Environment variable that keeps libuv from using io_uring, which the platform does not allow.
# Releases of uvloop after 0.21 use it for epoll regardless, so the dependency excludes them.
IO_URING_VARIABLE = "UV_USE_IO_URING"


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create a uvloop event loop, which takes an eighth less processor time than asyncio's."""
    os.environ[IO_URING_VARIABLE] = "0"
    return uvloop.new_event_loop()
