"""Reloading of the settings file when it changes."""

from collections.abc import Callable
from pathlib import Path

import eventlet
from returns.result import Success

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress import IngressSettings
from wigeonspoke.platform.settings import read_settings

POLL_SECONDS = 1.0


class SettingsWatcher:
    """Reloads the settings file when it has changed or on request.

    If the file is invalid, the active settings are kept and every error is
    logged.
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
        """Reload the file at the next check, even if it has not changed."""
        self.reload_requested = True

    def run(self) -> None:
        """Check the file periodically, forever."""
        while True:
            eventlet.sleep(POLL_SECONDS)
            self.check()

    def check(self) -> None:
        """Reload the file if it has changed or a reload was requested."""
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
        """Return the file's modification time and size, zeros if absent."""
        try:
            status = self.path.stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
