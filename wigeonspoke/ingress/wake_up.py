"""A wake-up for tasks that wait, in place of a look at short intervals."""

from eventlet.event import Event


class WakeUp:
    """Wakes all tasks that wait for it."""

    __slots__ = ('event',)

    def __init__(self) -> None:
        self.event = Event()

    def wait(self, seconds: float) -> None:
        """Wait until woken, for at most some seconds."""
        self.event.wait(timeout=seconds)

    def wake(self) -> None:
        """Wake all tasks that wait now."""
        woken = self.event
        self.event = Event()
        woken.send()
