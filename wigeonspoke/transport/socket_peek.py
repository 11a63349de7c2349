"""Inspection of a socket's input without consuming it."""

import socket

from eventlet.greenio import GreenSocket


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
