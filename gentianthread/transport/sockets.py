"""Set socket options that find connections which went silent."""

import socket

# The kernel asks an idle peer after this time, then at this interval, and gives up after so many
# questions: a connection that a device between both ends has forgotten fails after 3 s.
IDLE_S = 1
INTERVAL_S = 1
QUESTIONS = 2

# Bytes that the peer has not acknowledged for this long end the connection.
UNACKNOWLEDGED_MS = 4_000


def enable_keepalive(raw: socket.socket | None) -> None:
    """Let the kernel end a TCP connection whose peer no longer answers.

    Args:
        raw: The socket; None and sockets of other families are left as they are.
    """
    if raw is None or raw.family not in (socket.AF_INET, socket.AF_INET6):
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, QUESTIONS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def is_reset(raw: socket.socket | None) -> bool:
    """Return whether a connection that reported its end was reset in truth.

    libuv reports an end without another read where bytes and a reset arrive together.

    Args:
        raw: The socket, which is left as it is.
    """
    if raw is None or raw.fileno() < 0:
        return False
    peeked = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=raw.fileno())
    try:
        if peeked.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        peeked.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        peeked.detach()
    return False
