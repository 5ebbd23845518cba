"""The daemon: construction, start, shutdown and status."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from secrets import randbits
from typing import Any, Final

from attrs import asdict

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.idempotency.request_id import current_window
from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.timeline.event import event_to_json
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.front.operators import OperatorCalls, OperatorServer
from geraniumshelf_daemon.observability.events import (
    Event,
    install_recorder,
    log_event,
)
from geraniumshelf_daemon.observability.metrics import (
    StatsdMetrics,
    install_metrics,
)
from geraniumshelf_daemon.observability.timeline import TimelineBuffer
from geraniumshelf_daemon.settings import Settings
from geraniumshelf_daemon.wiring.control_plane import build_control_plane
from geraniumshelf_daemon.wiring.data_path import (
    update_drained_zones,
    update_server_loads,
    wire_data_path,
)
from geraniumshelf_daemon.wiring.gauges import set_gauges
from geraniumshelf_daemon.wiring.limits import Limits
from geraniumshelf_daemon.wiring.steering import Steering

_INCARNATION_BITS: Final = 63
_TICK_INTERVAL_S: Final = 0.2
_TASK_RESTART_DELAY_S: Final = 1.0
# Peers learn from a heartbeat within one second that this daemon is leaving;
# their look-up responses omit it from their next tick.
_LEAVING_NOTICE_S: Final = 1.5


class Daemon:
    """Runs all parts of the daemon until a shutdown is requested."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        hello = _build_hello(settings)
        clock = LogicalClock()
        process = f'{hello.instance}#{hello.incarnation:x}'
        self._timeline = TimelineBuffer(process, clock)
        install_recorder(self._timeline)
        self._metrics = StatsdMetrics(
            str(settings.statsd_address or ''), settings.instance
        )
        install_metrics(self._metrics)
        self._control = build_control_plane(settings, hello, clock)
        self._limits = Limits(self._control)
        self._steering = Steering(self._control, self._metrics)
        self._data_path = wire_data_path(
            self._control, self._limits, self._steering
        )
        self._operators = OperatorServer(
            OperatorCalls(self.status, self._timeline_rows, self._drain)
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()

    async def start(self) -> None:
        """Listen on all addresses and start all tasks.

        Raises:
            OSError: If an address is in use.
        """
        operators = self._settings.operator_address
        self._operators.listen(operators.host, operators.port)
        await self._control.links.start(_bind_peer_address(self._settings))
        callers = self._settings.caller_address
        self._data_path.front.listen(callers.host, callers.port)
        self._control.start()
        for run in (self._limits.run, self._steering.run, self._tick):
            self._tasks.append(asyncio.create_task(_supervise(run)))
        log_event(
            Event.DAEMON_STARTED, incarnation=self._control.hello.incarnation
        )

    def begin_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stopping.set()

    async def wait_stop(self) -> None:
        """Wait until a graceful shutdown is requested."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Shut down gracefully.

        The daemon leaves the look-up responses, waits until they have expired,
        finishes its requests, hands over its state and closes all connections.
        """
        log_event(Event.DAEMON_LEAVING)
        self._control.members.status.is_leaving = True
        await asyncio.sleep(_LEAVING_NOTICE_S + self._max_lookup_ttl_s())
        await self._data_path.front.drain(current_time())
        await self._limits.hand_over()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._data_path.pool.close()
        await self._control.stop()
        await self._operators.close()
        self._metrics.close()
        log_event(Event.DAEMON_STOPPED)

    def status(self) -> dict[str, Any]:
        """Return the status for operators as JSON content."""
        now = current_time()
        members = self._control.members
        return {
            'instance': self._control.hello.instance,
            'incarnation': f'{self._control.hello.incarnation:x}',
            'ready': self._is_ready(),
            'revision': self._control.holder.revision,
            'slot': self._limits.claims.slot,
            'leaving': members.status.is_leaving,
            'cut_off': members.is_cut_off(now),
            'watcher': members.is_watcher(now),
            'running': self._data_path.front.running_count,
            'peers': list(self._control.links.connected_peers()),
            'traffic': {
                'peers': asdict(self._control.links.traffic),
                'platform': asdict(self._control.platform.traffic),
            },
            'plans': {
                plan.service: plan.revision
                for plan in self._steering.plans.plans()
            },
        }

    async def _tick(self) -> None:
        while True:
            now = current_time()
            status = self._control.members.status
            status.window = current_window(now)
            status.slot = self._limits.claims.slot
            self._control.entries.refresh(now)
            if self._control.members.is_cut_off(now):
                self._data_path.front.cancel_cut_off_requests()
            state = self._data_path.dispatcher.state
            update_server_loads(self._steering.collector.load_table, state)
            update_drained_zones(
                self._steering.applied, self._control.entries, state
            )
            set_gauges(self._control, self._data_path, now)
            await asyncio.sleep(_TICK_INTERVAL_S)

    async def _drain(self) -> dict[str, Any]:
        self.begin_stop()
        return {'draining': True}

    def _is_ready(self) -> bool:
        return bool(
            self._control.holder.revision
            and self._limits.claims.usable_slots()
            and self._limits.allowances.has_usable_floors()
            and self._steering.plans.plans()
        )

    def _max_lookup_ttl_s(self) -> int:
        configuration = self._control.holder.configuration
        services = (configuration or Configuration('')).services
        return max((service.lookup_ttl_s for service in services), default=0)

    def _timeline_rows(self) -> dict[str, Any]:
        events = self._timeline.events()
        return {'events': [event_to_json(event) for event in events]}


async def _supervise(run: Callable[[], Awaitable[None]]) -> None:
    """Run a task and restart it after a delay if it fails."""
    while True:
        try:
            await run()
        except Exception as error:
            log_event(Event.TASK_FAILED, repr(error))
            await asyncio.sleep(_TASK_RESTART_DELAY_S)


def _build_hello(settings: Settings) -> Hello:
    return Hello(
        settings.instance,
        settings.zone,
        settings.region,
        str(settings.caller_address),
        str(settings.advertised_peer_address),
        randbits(_INCARNATION_BITS),
    )


def _bind_peer_address(settings: Settings) -> socket.socket:
    address = settings.peer_address
    return socket.create_server((address.host, address.port))
