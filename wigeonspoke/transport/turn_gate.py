"""Sharing the event loop with readers of bytes that take long to parse.

A reader whose peer is always ahead never waits.  Letting others run after each
turn does not suffice as soon as there are many like it: every other task then
waits for a turn of each of them.
"""

from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

# Elements, such as chunks and events, that are parsed in one turn.  That takes
# a few milliseconds.
TURN_ELEMENTS = 1024
# Time between two turns of such readers, in which all other tasks run.
PAUSE_SECONDS = 0.004


class TurnGate:
    """Lets readers of many small elements run one after the other.

    There is a pause before each of their turns, so that they leave a part of
    the process to the others, however many they are.  ``pauses_alone`` is
    whether a reader for which no other one waits pauses as well; it lets the
    other tasks run once in any case.
    """

    __slots__ = ('pauses_alone', 'semaphore')

    def __init__(self, pauses_alone: bool = True) -> None:
        self.pauses_alone = pauses_alone
        self.semaphore = Semaphore(1)

    def wait(self, is_over: Callable[[], bool] | None = None) -> None:
        """Wait until it is the turn of one more reader.

        ``is_over`` tells whether the reader no longer needs its turn, so that
        the next one need not wait for it.
        """
        with self.semaphore:
            if is_over is not None and is_over():
                return
            has_others = self.semaphore.balance < 0
            pauses = self.pauses_alone or has_others
            eventlet.sleep(PAUSE_SECONDS if pauses else 0)
