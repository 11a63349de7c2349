"""Reading the settings file again when it changes."""

from collections.abc import Callable
from pathlib import Path

import eventlet
from returns.result import Success

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress import IngressSettings
from wigeonspoke.platform.settings import read_settings

POLL_SECONDS = 1.0


class SettingsWatcher:
    """Applies the settings file on a signal, or when it has changed.

    A file with faults changes nothing: the settings in force stay, and
    every fault is logged.
    """

    __slots__ = ('apply', 'last_stamp', 'log', 'path', 'reload_requested')

    def __init__(
        self,
        path: Path,
        log: DecisionLog,
        apply: Callable[[IngressSettings], tuple[str, ...]],
    ) -> None:
        self.path = path
        self.log = log
        self.apply = apply
        self.reload_requested = False
        self.last_stamp = self._read_stamp()

    def request_reload(self) -> None:
        """Read the file at the next look, changed or not."""
        self.reload_requested = True

    def run(self) -> None:
        """Look at the file for ever."""
        while True:
            eventlet.sleep(POLL_SECONDS)
            self.check()

    def check(self) -> None:
        """Read the file if it has changed or somebody asked."""
        stamp = self._read_stamp()
        if stamp == self.last_stamp and not self.reload_requested:
            return
        self.last_stamp = stamp
        self.reload_requested = False
        settings = read_settings(self.path)
        if isinstance(settings, Success):
            changed = self.apply(settings.unwrap())
            self.log.write('reload', changed=list(changed))
        else:
            self.log.write('reload-refused', faults=list(settings.failure()))

    def _read_stamp(self) -> tuple[int, int]:
        """Tell one content of the file from another, 0 for no file."""
        try:
            status = self.path.stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
