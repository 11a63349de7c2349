"""A crowd of clients that break the limits, on non-blocking sockets."""

import socket
import struct
import time

import eventlet
import msgspec

from wigeonspoke.platform.tests.harness import API_KEY, HOST

SEND_BUFFER_BYTES = 65536
RECEIVED_BYTES = 65536
# The first bytes of an answer, which hold its status.
ANSWER_BYTES = 12
# A crowd that has moved nothing for so long waits for the node.
QUIET_SECONDS = 0.5
ROUND_SECONDS = 0.001
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Shape(msgspec.Struct, frozen=True):
    """What each client of a crowd sends.

    ``repeated`` follows ``first`` so many ``times``, or without end if that
    is 0.  ``%d`` stands for the number of the client.  ``reads`` is whether it
    reads what it is answered.
    """

    first: bytes
    repeated: bytes = b''
    times: int = 0
    reads: bool = True


def request_head(
    framing: bytes, path: bytes = b'/read/x', key: str = API_KEY
) -> bytes:
    """Return the head of a POST request with some headers, ``framing``."""
    return b''.join(
        (
            b'POST ' + path + b' HTTP/1.1\r\n',
            b'Host: ' + HOST.encode() + b'\r\n',
            b'Credential: ' + key.encode() + b'\r\n',
            b'Request-Id: c%d\r\nDeadline-Ms: 20000\r\n',
            framing,
            b'\r\n',
        )
    )


class Member:
    """One client of a crowd."""

    def __init__(self, address: str, shape: Shape, number: int) -> None:
        host, _, port = address.rpartition(':')
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self.sock.setblocking(False)
        self.sock.connect_ex((host, int(port)))
        self.pending = memoryview(shape.first.replace(b'%d', b'%d' % number))
        self.repeated = shape.repeated.replace(b'%d', b'%d' % number)
        self.is_endless = bool(shape.repeated) and not shape.times
        self.left = shape.times
        self.reads = shape.reads
        self.is_closed = False
        self.answer = b''

    def step(self) -> bool:
        """Receive and send what is possible; return whether anything was."""
        if self.is_closed:
            return False
        try:
            has_received = self.reads and self._receive()
            has_sent = self._send()
        except OSError:
            self.is_closed = True
            return True
        return has_received or has_sent

    def _receive(self) -> bool:
        try:
            received = self.sock.recv(RECEIVED_BYTES)
        except BlockingIOError:
            return False
        self.is_closed = not received
        self.answer = (self.answer + received)[:ANSWER_BYTES]
        return True

    def _send(self) -> bool:
        if not self.pending and (self.is_endless or self.left > 0):
            self.pending = memoryview(self.repeated)
            self.left -= 1
        if not self.pending:
            return False
        try:
            sent = self.sock.send(self.pending)
        except BlockingIOError:
            return False
        self.pending = self.pending[sent:]
        return sent > 0


class Crowd:
    """Many clients of one address, which all send the same."""

    def __init__(self, address: str, shape: Shape, size: int) -> None:
        self.members = [
            Member(address, shape, number) for number in range(size)
        ]

    def run(self, seconds: float) -> None:
        """Let the clients go on for a time, or until none of them can."""
        end = time.monotonic() + seconds
        moved_at = time.monotonic()
        while time.monotonic() < end:
            if self.step():
                moved_at = time.monotonic()
            elif time.monotonic() - moved_at > QUIET_SECONDS:
                return
            eventlet.sleep(ROUND_SECONDS)

    def run_beside(self, task: eventlet.greenthread.GreenThread) -> None:
        """Let the clients go on until a task has ended."""
        while not task.dead:
            self.step()
            eventlet.sleep(ROUND_SECONDS)

    def step(self) -> bool:
        """Let each client go on once; return whether any of them could."""
        return any([member.step() for member in self.members])

    @property
    def statuses(self) -> set[bytes]:
        """The statuses of the answers to the clients."""
        return {member.answer[-3:] for member in self.members if member.answer}

    def leave(self) -> None:
        """Close all connections."""
        for member in self.members:
            member.sock.close()

    def reset(self) -> None:
        """Close all connections with a reset."""
        for member in self.members:
            member.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.leave()
