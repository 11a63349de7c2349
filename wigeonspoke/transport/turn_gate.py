"""Sharing the event loop with readers of bytes that take long to parse.

A reader whose peer is always ahead never waits.  Letting others run after each
turn does not suffice as soon as there are many like it: every other task then
waits for a turn of each of them.
"""

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
    the process to the others, however many they are.
    """

    __slots__ = ('semaphore',)

    def __init__(self) -> None:
        self.semaphore = Semaphore(1)

    def wait(self) -> None:
        """Wait until it is the turn of one more reader."""
        with self.semaphore:
            eventlet.sleep(PAUSE_SECONDS)
