"""Inspection of a socket's input without consuming it."""

import socket
from contextlib import suppress

from eventlet.greenio import GreenSocket

# States of a connection, as in the kernel's ``tcp_states.h``.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


def peek(sock: socket.socket) -> bytes | None:
    """Return the next byte of input, ``b''`` if the connection has ended.

    An error counts as the end of the connection.  Return ``None`` if there is
    no input.  ``sock`` must be a non-blocking socket of the standard library:
    eventlet's green socket around it would wait for input.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b''


def has_input(connection: GreenSocket) -> bool:
    """Return whether a read would not wait: for bytes, or for the end."""
    return peek(connection.fd) is not None


def has_left(connection: GreenSocket) -> bool:
    """Return whether the peer has closed, whatever input is left of it."""
    with suppress(OSError):
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] in {TCP_CLOSE, TCP_CLOSE_WAIT}
    return False
