import asyncio
import os

from gentianthread.transport.event_loop import new_event_loop

from ..base import TestCase


def open_kinds():
    """Return the link targets of the open file descriptors of this process."""
    kinds = []
    for name in os.listdir("/proc/self/fd"):
        try:
            kinds.append(os.readlink(f"/proc/self/fd/{name}"))
        except FileNotFoundError:
            # The descriptor of the directory listing.
            continue
    return kinds


class TestEventLoop(TestCase):
    def test_serves_sockets_without_io_uring(self):
        """Guards against a loop that uses io_uring, which the platform refuses."""

        async def main():
            async def echo(reader, writer):
                writer.write(await reader.readline())
                writer.close()

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            writer.write(b"hello\n")
            line = await reader.readline()
            kinds = open_kinds()
            writer.close()
            server.close()
            return line, [kind for kind in kinds if "uring" in kind]

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            self.assertEqual((b"hello\n", []), runner.run(main()))
