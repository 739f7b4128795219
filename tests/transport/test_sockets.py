import socket

from gentianthread.transport.sockets import enable_keepalive

from ..base import TestCase

# Longest time until a connection that a firewall has dropped must fail.
MAX_DETECTION_MS = 4_000


class TestKeepProbing(TestCase):
    def test_silent_connections_end_in_time(self):
        """Guards against connections that a firewall has dropped and that stay open."""
        with socket.socket() as raw:
            enable_keepalive(raw)
            self.assertEqual(1, raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
            idle_s, interval_s, probes, unacknowledged_ms = (
                raw.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                    socket.TCP_USER_TIMEOUT,
                )
            )
        self.assertLessEqual((idle_s + interval_s * probes) * 1_000, MAX_DETECTION_MS)
        self.assertLessEqual(unacknowledged_ms, MAX_DETECTION_MS)

    def test_other_sockets_are_left_as_they_are(self):
        """Guards against errors where there is no TCP connection."""
        enable_keepalive(None)
        near, far = socket.socketpair()
        enable_keepalive(near)
        near.close()
        far.close()
