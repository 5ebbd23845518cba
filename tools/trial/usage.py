"""Processor time and memory of processes, read from the system."""

import os
from pathlib import Path
from typing import Final

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_USER_FIELD: Final = 11
_SYSTEM_FIELD: Final = 12
_KIB_PER_MIB: Final = 1024


def processor_time_s(pid: int) -> float:
    """Return user and system time of a process, seconds."""
    line = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = line.rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / _TICKS_PER_S


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process, MiB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KIB_PER_MIB
    return 0


def busyness() -> str:
    """Return the load average of the last minute and the cores, as a note."""
    return f'load average {os.getloadavg()[0]:.1f}, {os.cpu_count()} cores'
