"""A stand-in for the platform's balancer: it picks a ready node."""

import itertools

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.transport import HttpClient

CHECK_SECONDS = 0.25
CHECK_TIMEOUT = 1.0


class Target(msgspec.Struct, frozen=True):
    """A node behind the balancer: where callers go, where checks go."""

    callers: str
    admin: str


class Balancer:
    """Takes turns over the nodes whose last readiness check passed."""

    __slots__ = ('client', 'ready', 'targets', 'turns')

    def __init__(self, targets: tuple[Target, ...]) -> None:
        self.targets = targets
        self.ready: list[Target] = []
        self.client = HttpClient()
        self.turns = itertools.count()

    def pick(self) -> str:
        """Give the callers' address of the next ready node."""
        pool = self.ready or self.targets
        return pool[next(self.turns) % len(pool)].callers

    def check_forever(self) -> None:
        """Check the nodes again and again."""
        while True:
            self.ready = [
                target for target in self.targets if self._is_ready(target)
            ]
            eventlet.sleep(CHECK_SECONDS)

    def _is_ready(self, target: Target) -> bool:
        reply = self.client.get(target.admin, '/readyz', CHECK_TIMEOUT)
        return isinstance(reply, Success) and reply.unwrap().is_ok
