"""Startup and shutdown of an ingress node on the platform."""

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
from wigeonspoke.platform.engine_control import PlatformEngineControl
from wigeonspoke.platform.records import CONFIGURATION_KEY
from wigeonspoke.platform.settings import (
    PATH_VARIABLE,
    read_settings,
    settings_path,
)
from wigeonspoke.platform.settings_watcher import SettingsWatcher
from wigeonspoke.platform.store_client import PlatformStore
from wigeonspoke.platform.wire_format import PlatformFormat
from wigeonspoke.transport import HttpClient

INVALID_SETTINGS_STATUS = 2
# Engines report and obey in a few hundred bytes, and many may be asked at once.
MAX_REPORT_BYTES = 262144
TABLE_NAMES = TableNames('op', CONFIGURATION_KEY, 'servers')


class SignalHandlers:
    """Handlers for the signals that the platform sends to a process.

    SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload of the
    settings.
    """

    __slots__ = ('on_reload', 'stop_requested')

    def __init__(self, on_reload: Callable[[], None]) -> None:
        self.stop_requested: Event = Event()
        self.on_reload = on_reload
        signal.signal(signal.SIGTERM, self._handle_stop)
        signal.signal(signal.SIGINT, self._handle_stop)
        signal.signal(signal.SIGHUP, self._handle_reload)

    def _handle_stop(self, *_: object) -> None:
        if not self.stop_requested.ready():
            eventlet.spawn_after(0, self._request_stop)

    def _request_stop(self) -> None:
        if not self.stop_requested.ready():
            self.stop_requested.send()

    def _handle_reload(self, *_: object) -> None:
        self.on_reload()


def run_program() -> int:
    """Run a node until it is signalled to stop; return the exit status."""
    path = settings_path()
    if path is None:
        sys.stderr.write(f'{PATH_VARIABLE} is not set\n')
        return INVALID_SETTINGS_STATUS
    settings = read_settings(path)
    if not isinstance(settings, Success):
        for error in settings.failure():
            sys.stderr.write(f'{path}: {error}\n')
        return INVALID_SETTINGS_STATUS
    send_decisions_to_stdout()
    _run_node(path, build_node(settings.unwrap()))
    return 0


def _run_node(path: Path, node: IngressNode) -> None:
    watcher = SettingsWatcher(path, node.state.log, node.apply)
    signal_handlers = SignalHandlers(watcher.request_reload)
    node.start()
    eventlet.spawn(watcher.run)
    signal_handlers.stop_requested.wait()
    node.stop()
    sys.stdout.flush()
    # A normal interpreter exit would wait for the loops that block on sockets.
    os._exit(0)


def build_node(settings: IngressSettings) -> IngressNode:
    """Build a node that uses the platform's wire format and services."""
    client = HttpClient()
    return IngressNode(
        settings,
        PlatformFormat(),
        PlatformStore(settings.store, client),
        PlatformEngineControl(HttpClient(max_reply_bytes=MAX_REPORT_BYTES)),
        client,
        TABLE_NAMES,
        DecisionLog(settings.name),
    )
