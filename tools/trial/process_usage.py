"""CPU time and memory of processes, as read from ``/proc``."""

import os
from pathlib import Path
from typing import Final

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_USER_TIME_FIELD: Final = 11
_SYSTEM_TIME_FIELD: Final = 12
_KIB_PER_MIB: Final = 1024


def cpu_time_s(pid: int) -> float:
    """Return the user and system time of a process, seconds."""
    line = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = line.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _TICKS_PER_S


def read_resident_mib(pid: int) -> float:
    """Return the resident memory of a process, MiB; 0 if it is not stated."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KIB_PER_MIB
    return 0


def describe_machine_load() -> str:
    """Describe the load average of the last minute and the number of cores."""
    return f'load average {os.getloadavg()[0]:.1f}, {os.cpu_count()} cores'
