"""A look at what waits on a connection, without taking it."""

import socket


def peek(sock: socket.socket) -> bytes | None:
    """Give the first byte that waits, nothing at an end or a break.

    None says that nothing has come.  A green socket would wait for bytes;
    what is looked at is the one under it.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b''
