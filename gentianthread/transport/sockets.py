"""Detect dead and reset TCP connections."""

import fcntl
import socket
import sys
import termios

# TCP keep-alive: the kernel probes an idle peer after this time, then at this interval, and closes
# the connection after this number of unanswered probes. A connection that a firewall or NAT between
# both ends has dropped thus fails after 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

# The kernel closes a connection with sent bytes that were not acknowledged for this time.
USER_TIMEOUT_MS = 4_000


def enable_keepalive(raw: socket.socket | None) -> None:
    """Let the kernel close a TCP connection whose peer no longer responds, and send without delay.

    Args:
        raw: The socket; None and sockets of other families are ignored.
    """
    if raw is None or raw.family not in (socket.AF_INET, socket.AF_INET6):
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def is_reset(raw: socket.socket | None) -> bool:
    """Return whether a connection whose end was reported was in fact reset.

    libuv reports an end without another read if bytes and a reset arrive together.

    Args:
        raw: The socket; it is not changed.
    """
    if raw is None or raw.fileno() < 0:
        return False
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=raw.fileno())
    try:
        if view.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        view.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        view.detach()
    return False


def unacknowledged_bytes(raw: socket.socket) -> int:
    """Return how many sent bytes the other end has not received, as far as the system tells."""
    return _query_bytes(raw, termios.TIOCOUTQ)


def unread_bytes(raw: socket.socket) -> int:
    """Return how many received bytes were not read yet, as far as the system tells."""
    return _query_bytes(raw, termios.FIONREAD)


def _query_bytes(raw: socket.socket, request: int) -> int:
    try:
        return int.from_bytes(fcntl.ioctl(raw.fileno(), request, bytes(4)), sys.byteorder)
    except (AttributeError, OSError, ValueError):
        # Not every system tells it, and the socket may be closed.
        return 0
