"""A test double that sends bytes without end.

It is a process of its own, so that it keeps the receive buffer of its peer
filled however busy the event loop of the test is.
"""

import socket
import subprocess
import sys

RECEIVE_BYTES = 65536
# How much it sends if its peer does not close the connection: what a reader
# may take before it gives up, and what the buffers of both sockets hold.
MAX_SENT_BYTES = 134217728
CLOSED = 'closed'


class EndlessSender:
    """Sends a head and then the same bytes again and again.

    It serves one connection.
    """

    def __init__(self, head: bytes, repeated: bytes, count: int) -> None:
        arguments = (head.hex(), repeated.hex(), str(count))
        self.process = subprocess.Popen(
            [sys.executable, '-I', '-S', __file__, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = self.process.stdout.readline().strip()

    def read_result(self) -> tuple[bool, int]:
        """Wait for the end of the connection.

        Returns whether the peer closed it, and the number of bytes sent.
        """
        reason, sent_bytes = self.process.stdout.readline().split()
        return reason == CLOSED, int(sent_bytes)

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def _serve(head: bytes, repeated: bytes) -> None:
    server = socket.create_server(('127.0.0.1', 0))
    host, port = server.getsockname()
    sys.stdout.write(f'{host}:{port}\n')
    sys.stdout.flush()
    connection, _ = server.accept()
    reason = 'gave-up'
    sent_bytes = 0
    try:
        connection.recv(RECEIVE_BYTES)
        connection.sendall(head)
        while sent_bytes < MAX_SENT_BYTES:
            connection.sendall(repeated)
            sent_bytes += len(repeated)
    except OSError:
        reason = CLOSED
    connection.close()
    sys.stdout.write(f'{reason} {sent_bytes}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    _serve(
        bytes.fromhex(sys.argv[1]),
        bytes.fromhex(sys.argv[2]) * int(sys.argv[3]),
    )
