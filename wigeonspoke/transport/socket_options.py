"""Options of sockets: how long silence is tolerated, and how they close."""

import socket

# A ``struct linger`` with ``l_onoff`` 1 and ``l_linger`` 0.
_LINGER_RESET = b'\x01\x00\x00\x00\x00\x00\x00\x00'

# Bytes that the kernel keeps of a connection until they are read, which it
# doubles for its own use.  Without a limit it keeps some megabytes, and they
# count as memory of this process.
RECEIVE_BUFFER_BYTES = 131072

KEEP_ALIVE_SECONDS = 1
# On Linux, TCP_USER_TIMEOUT also determines when unanswered keep-alive probes
# break a connection, whatever TCP_KEEPCNT says: at the first probe that is due
# later than that after the last packet from the peer.  Probes are due after 1,
# 2, 3 and 4 s.  A peer whose packets are lost from just before the first probe
# on, for up to 2 s, answers the third one, which 3000 would not have sent.
KEEP_ALIVE_USER_TIMEOUT_MILLISECONDS = 3500
# A peer behind a network partition sends no error.  These options make the
# kernel break a connection after four seconds without a packet from it.  A
# process that is silent is not affected, since its kernel answers the probes.
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        KEEP_ALIVE_USER_TIMEOUT_MILLISECONDS,
    ),
)


def reset_on_close(sock: socket.socket) -> None:
    """Make the next ``close`` send a reset instead of a regular end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
