"""How a connection was lost, and which of its users was told of it."""

import enum

import msgspec


@enum.unique
class Operation(enum.StrEnum):
    """A use of a connection, which may be the one that is told of its loss.

    ``SHUTDOWN`` is one of this process, which looks like a regular end to
    later reads.
    """

    LOOK = 'look'
    READ = 'read'
    SEND = 'send'
    SHUTDOWN = 'shutdown'


class ConnectionLoss(msgspec.Struct, frozen=True):
    """The error that ended a connection, and the operation that met it."""

    operation: Operation
    error: OSError

    def describe(self) -> str:
        """Return both for the log.

        >>> ConnectionLoss(Operation.SEND, BrokenPipeError(32, 'x')).describe()
        'send: BrokenPipeError'
        """
        return f'{self.operation}: {type(self.error).__name__}'
