"""Reading the settings file again when it changes."""

from collections.abc import Callable
from pathlib import Path

import eventlet
from returns.result import Success

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress import IngressSettings
from wigeonspoke.platform.settings import read_settings

LOOK_SECONDS = 1.0


class SettingsWatch:
    """Applies the settings file on a signal, or when it has changed.

    A file with faults changes nothing: the settings in force stay, and
    every fault is logged.
    """

    __slots__ = ('apply', 'asked', 'log', 'path', 'seen')

    def __init__(
        self,
        path: Path,
        log: DecisionLog,
        apply: Callable[[IngressSettings], tuple[str, ...]],
    ) -> None:
        self.path = path
        self.log = log
        self.apply = apply
        self.asked = False
        self.seen = self._stamp()

    def ask(self) -> None:
        """Read the file at the next look, changed or not."""
        self.asked = True

    def run(self) -> None:
        """Look at the file for ever."""
        while True:
            eventlet.sleep(LOOK_SECONDS)
            self.look()

    def look(self) -> None:
        """Read the file if it has changed or somebody asked."""
        stamp = self._stamp()
        if stamp == self.seen and not self.asked:
            return
        self.seen = stamp
        self.asked = False
        settings = read_settings(self.path)
        if isinstance(settings, Success):
            changed = self.apply(settings.unwrap())
            self.log.write('reload', changed=list(changed))
        else:
            self.log.write('reload-refused', faults=list(settings.failure()))

    def _stamp(self) -> tuple[int, int]:
        """Tell one content of the file from another, 0 for no file."""
        try:
            status = self.path.stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
