"""One child process of a trial, ended by its own id."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, STDOUT, Process
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

from attrs import define

_STOP_TIMEOUT_S: Final = 10.0


@define
class ChildProcess:
    """A running child process.

    Attributes:
        name: Name for reports.
        process: The process.
        log_path: File with its output.
    """

    name: str
    process: Process
    log_path: Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, for instance SIGSTOP, if the process still runs."""
        if self.is_running:
            self.process.send_signal(signal_number)

    async def wait(self, timeout_s: float) -> int:
        """Return the exit status.

        Raises:
            TimeoutError: If the process has not ended in time.
        """
        return await asyncio.wait_for(self.process.wait(), timeout_s)

    async def kill(self) -> None:
        """End the process at once."""
        if self.is_running:
            self.process.kill()
            await self.wait(_STOP_TIMEOUT_S)

    def read_log(self) -> str:
        """Return what the process has written."""
        return self.log_path.read_text(encoding='utf-8', errors='replace')


async def start_module(
    name: str,
    module: str,
    arguments: Sequence[str],
    log_folder: Path,
    environment: Mapping[str, str] | None = None,
) -> ChildProcess:
    """Start a Python module as a child process."""
    log_folder.mkdir(parents=True, exist_ok=True)
    log_path = log_folder / f'{name}.log'
    with log_path.open('ab') as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            stdin=DEVNULL,
            stdout=log,
            stderr=STDOUT,
            env=_environment(environment or {}),
        )
    return ChildProcess(name, process, log_path)


def _environment(extra: Mapping[str, str]) -> dict[str, str]:
    sources = os.pathsep.join(entry for entry in sys.path if entry)
    return {**os.environ, 'PYTHONPATH': sources, **extra}
