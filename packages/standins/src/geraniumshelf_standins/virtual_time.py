"""Event loop with virtual time, which advances only when all tasks wait."""

import asyncio
import selectors
from collections.abc import Mapping
from typing import Any


class _InstantSelector(selectors.BaseSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        self.now = float(0)
        self._inner = selectors.DefaultSelector()

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        return self._inner.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._inner.unregister(fileobj)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._inner.get_map()

    def close(self) -> None:
        self._inner.close()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is scheduled'
            )
        self.now += max(0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time. Sockets are never polled."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        """Return the virtual time in seconds since the loop was created."""
        return self._instant.now
