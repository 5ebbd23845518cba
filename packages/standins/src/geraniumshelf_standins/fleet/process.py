"""Child processes that run a Python module."""

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
    """A child process.

    Attributes:
        name: Name in reports and of the log file.
        process: Process of asyncio.
        log_path: File that its standard output and error are appended to.
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
        """Return whether the process has not exited."""
        return self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP, if the process is running."""
        if self.is_running:
            self.process.send_signal(signal_number)

    async def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its exit status.

        Raises:
            TimeoutError: If it does not exit within the timeout.
        """
        return await asyncio.wait_for(self.process.wait(), timeout_s)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        if self.is_running:
            self.process.kill()
            await self.wait(_STOP_TIMEOUT_S)

    def read_log(self) -> str:
        """Return the output of the process."""
        return self.log_path.read_text(encoding='utf-8', errors='replace')


async def start_module(
    name: str,
    module: str,
    arguments: Sequence[str],
    log_folder: Path,
    environment: Mapping[str, str] | None = None,
) -> ChildProcess:
    """Start a Python module as a child process.

    Args:
        name: Name of the process.
        module: Module to run.
        arguments: Command line arguments.
        log_folder: Folder for the log file, created if missing.
        environment: Additional environment variables.
    """
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
            env=_build_environment(environment or {}),
        )
    return ChildProcess(name, process, log_path)


def _build_environment(extra: Mapping[str, str]) -> dict[str, str]:
    source_paths = os.pathsep.join(entry for entry in sys.path if entry)
    return {**os.environ, 'PYTHONPATH': source_paths, **extra}
