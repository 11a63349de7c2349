"""Tells in the log and in the counters how clients' connections ended."""

from wigeonspoke.ingress.state import IngressState
from wigeonspoke.transport import ConnectionEnd


class ConnectionReporter:
    """Reports the ends of the connections of one listener.

    A regular end is only counted.
    """

    __slots__ = ('listener', 'state')

    def __init__(self, state: IngressState, listener: str) -> None:
        self.state = state
        self.listener = listener

    def __call__(self, end: ConnectionEnd) -> None:
        """Report the end of a connection."""
        self.state.count_event(
            'connection-ended', f'{self.listener} {end.phase} {end.cause}'
        )
        if end.is_regular:
            return
        self.state.log.write(
            'connection-ended',
            listener=self.listener,
            request=end.request_id,
            phase=end.phase,
            cause=end.cause,
            quiet=round(end.quiet_seconds, 3),
            limit=end.limit_seconds,
            limit_version=end.version,
            version=self.state.routing_table.version,
            problem=end.problem,
        )
