"""A node as a process of its own, of this build or of another one."""

import itertools
import os
import pathlib
import signal
import subprocess
import sys
import tarfile
from typing import Any

from wigeonspoke.platform.settings import PATH_VARIABLE
from wigeonspoke.transport import HttpClient

ROOT = pathlib.Path(__file__).parents[3]
SETTINGS = """
node = "{name}"
zone = "{zone}"
ip = "{host}"
internal-ports = [{internal}, {metrics}]
[zones]
one = "region"
two = "region"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
grace-s = 8
retry-budget-extra = 400
[platform]
address = "{store}"
[limits]
memory-mb = {memory_mb}
max-fds = {max_fds}
"""
PORTS = itertools.count(7000)
PORT_NAMES = ('internal', 'metrics', 'front', 'ready', 'control')
# Of an entry host, by the users' page.
MEMORY_MB = 300
MAX_DESCRIPTORS = 4200
KILOBYTES_PER_MEGABYTE = 1024


class NodeProcess:
    """A node that runs the program of the sources in a folder."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        zone: str,
        store: str,
        source: pathlib.Path = ROOT,
        memory_mb: int = MEMORY_MB,
        max_fds: int = MAX_DESCRIPTORS,
    ) -> None:
        self.name = name
        host = _own_host()
        ports = {port_name: next(PORTS) for port_name in PORT_NAMES}
        self.front = f'{host}:{ports["front"]}'
        self.ready = f'{host}:{ports["ready"]}'
        self.control = f'{host}:{ports["control"]}'
        settings = folder / f'{name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                host=host,
                store=store,
                memory_mb=memory_mb,
                max_fds=max_fds,
                **ports,
            )
        )
        self.log = folder / f'{name}.log'
        with self.log.open('w') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'wigeonspoke.platform'],
                cwd=source,
                env={
                    PATH_VARIABLE: str(settings),
                    'PYTHONPATH': str(source),
                    'PYTHONWARNINGS': 'ignore',
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def peak_mb(self) -> float:
        """The most memory that the process has had."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status')
        lines = status.read_text().splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1]) / KILOBYTES_PER_MEGABYTE

    @property
    def descriptors(self) -> int:
        """The number of open descriptors of the process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def is_ready(self) -> bool:
        """Return whether the process answers that it is ready."""
        reply = HttpClient().get(self.ready, '/v1/readyz')
        return reply.map(lambda found: found.is_ok).value_or(False)

    def send_signals(self, *signals: signal.Signals) -> None:
        """Send signals, one after the other."""
        for number in signals:
            self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.poll() is not None

    def close(self) -> None:
        """End the process at once."""
        if not self.has_ended():
            self.process.kill()
        self.process.wait()


def extract_build(commit: str, folder: pathlib.Path) -> pathlib.Path | None:
    """Extract the sources of a commit, None if there is no history."""
    archive = folder / f'{commit}.tar'
    result: Any = subprocess.run(
        ['git', 'archive', f'--output={archive}', commit, 'wigeonspoke'],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if result.returncode:
        return None
    source = folder / commit
    with tarfile.open(archive) as packed:
        packed.extractall(source, filter='data')
    return source


def _own_host() -> str:
    """Return a loopback address of this test process alone.

    Several test processes run at once, and a port that is free now may be
    taken by the time at which a node listens there.
    """
    pid = os.getpid()
    return f'127.{1 + (pid >> 16) % 254}.{(pid >> 8) & 255}.{pid & 255}'
