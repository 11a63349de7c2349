"""Options of sockets that the standard library has no name for."""

import socket

# A ``struct linger`` with ``l_onoff`` 1 and ``l_linger`` 0.
_LINGER_RESET = b'\x01\x00\x00\x00\x00\x00\x00\x00'


def reset_on_close(sock: socket.socket) -> None:
    """Make the next ``close`` send a reset instead of a regular end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
