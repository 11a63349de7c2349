"""Putting a node together from the platform's settings."""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import eventlet
from eventlet.event import Event
from returns.result import Success

from wigeonspoke.decisions import DecisionLog, send_decisions_to_stdout
from wigeonspoke.ingress import IngressNode, IngressSettings, TableNames
from wigeonspoke.platform.engine_control import PlatformEngines
from wigeonspoke.platform.records import CONFIGURATION_KEY
from wigeonspoke.platform.settings import (
    PATH_VARIABLE,
    read_settings,
    settings_path,
)
from wigeonspoke.platform.settings_watcher import SettingsWatch
from wigeonspoke.platform.store_client import PlatformStore
from wigeonspoke.platform.wire_format import PlatformFormat
from wigeonspoke.transport import HttpClient

WRONG_SETTINGS = 2
TABLES = TableNames('op', CONFIGURATION_KEY, 'servers')


class Signals:
    """The signals that the platform sends to a process."""

    __slots__ = ('on_reload', 'stop')

    def __init__(self, on_reload: Callable[[], None]) -> None:
        self.stop: Event = Event()
        self.on_reload = on_reload
        signal.signal(signal.SIGTERM, self._take_stop)
        signal.signal(signal.SIGINT, self._take_stop)
        signal.signal(signal.SIGHUP, self._take_reload)

    def _take_stop(self, *_: object) -> None:
        if not self.stop.ready():
            eventlet.spawn_after(0, self._send_stop)

    def _send_stop(self) -> None:
        if not self.stop.ready():
            self.stop.send()

    def _take_reload(self, *_: object) -> None:
        self.on_reload()


def run_program() -> int:
    """Run a node until it is told to stop; give the exit status."""
    path = settings_path()
    if path is None:
        sys.stderr.write(f'{PATH_VARIABLE} names no settings file\n')
        return WRONG_SETTINGS
    settings = read_settings(path)
    if not isinstance(settings, Success):
        for fault in settings.failure():
            sys.stderr.write(f'{path}: {fault}\n')
        return WRONG_SETTINGS
    send_decisions_to_stdout()
    _serve(path, build_node(settings.unwrap()))
    return 0


def _serve(path: Path, node: IngressNode) -> None:
    watch = SettingsWatch(path, node.state.log, node.apply)
    signals = Signals(watch.ask)
    node.start()
    eventlet.spawn(watch.run)
    signals.stop.wait()
    node.stop()
    sys.stdout.flush()
    # Loops that wait on sockets would hold up the interpreter's own end.
    os._exit(0)


def build_node(settings: IngressSettings) -> IngressNode:
    """Put a node together for the platform."""
    client = HttpClient()
    return IngressNode(
        settings,
        PlatformFormat(),
        PlatformStore(settings.store, client),
        PlatformEngines(client),
        client,
        TABLES,
        DecisionLog(settings.name),
    )
