"""Events that change the servers, daemons and callers of a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tools.emulator.daemons import make_placement_state
from tools.emulator.experiment import Event
from tools.emulator.limit_statistics import LimitEvent
from tools.emulator.servers import Server

if TYPE_CHECKING:
    from tools.emulator.simulation import Simulation

# Time that a flapping server stays in each state.
_FLAP_INTERVAL_S: Final = 0.7
# Time for which a zone counts as cold after the end of its evacuation.
_COLD_AFTER_RETURN_S: Final = 3
# Time that a starting daemon needs to load the list of servers.
_LIST_LOADING_S: Final = 0.2


def apply_event(simulation: Simulation, event: Event) -> None:
    """Start an event and schedule its end.

    Raises:
        ValueError: If the kind of the event is unknown.
    """
    match event.kind:
        case 'evacuate':
            _evacuate(simulation, event)
        case 'leave':
            _leave(simulation, event)
        case 'slow':
            _set_server_attribute(simulation, event, 'slow', event.x, 1)
        case 'grey':
            _set_server_attribute(simulation, event, 'grey', event.x, 0)
        case 'flap':
            _flap(simulation, event)
        case 'power':
            _power(simulation, event)
        case 'limit':
            _limit(simulation, event)
        case 'burst':
            _burst(simulation, event)
        case 'hot_object':
            _hot_object(simulation, event)
        case 'shift':
            _shift(simulation, event)
        case _:
            raise ValueError(f'unknown kind of event: {event.kind}')


def _choose_servers(simulation: Simulation, event: Event) -> list[Server]:
    servers = [
        server
        for server in simulation.servers.values()
        if event.zone in {-1, server.zone}
    ]
    count = max(1, round(len(servers) * event.share))
    return simulation.random.sample(servers, count)


def _evacuate(simulation: Simulation, event: Event) -> None:
    """Evacuate a zone, then return it; its servers keep their warm objects."""

    def notify_daemons(*, begins: bool) -> None:
        for daemon in simulation.daemons:
            evacuated_zones = {int(name[1:]) for name in daemon.state.evacuated}
            zones = (
                evacuated_zones | {event.zone}
                if begins
                else evacuated_zones - {event.zone}
            )
            daemon.set_evacuated_zones(
                frozenset(zones), _COLD_AFTER_RETURN_S, simulation.now_ns()
            )

    notification_delay = simulation.experiment.listing_s
    simulation.schedule(notification_delay, lambda: notify_daemons(begins=True))
    simulation.schedule(
        event.for_s + notification_delay, lambda: notify_daemons(begins=False)
    )


def _leave(simulation: Simulation, event: Event) -> None:
    """Stop servers and restart them cold at the end of the event."""
    for server in _choose_servers(simulation, event):
        _stop(simulation, server)
        simulation.schedule(
            event.for_s, lambda server=server: _start(simulation, server)
        )


def _stop(simulation: Simulation, server: Server) -> None:
    server.stop()

    def notify_daemons() -> None:
        for daemon in simulation.daemons:
            daemon.delist_server(server.name)

    simulation.schedule(simulation.experiment.listing_s, notify_daemons)


def _start(simulation: Simulation, server: Server) -> None:
    server.start()

    def notify_daemons() -> None:
        if server.is_up:
            for daemon in simulation.daemons:
                daemon.list_server(server, simulation.now_ns(), is_new=True)

    simulation.schedule(simulation.experiment.listing_s, notify_daemons)


def _set_server_attribute(
    simulation: Simulation, event: Event, name: str, begin: float, end: float
) -> None:
    for server in _choose_servers(simulation, event):
        setattr(server, name, begin)
        simulation.schedule(
            event.for_s, lambda server=server: setattr(server, name, end)
        )


def _flap(simulation: Simulation, event: Event) -> None:
    """Stop and start servers in turn; they stay in the server list."""
    end_time = simulation.now + event.for_s

    def toggle(server: Server) -> None:
        if server.is_up and simulation.now < end_time:
            server.stop()
        elif not server.is_up:
            server.is_up = True
        if simulation.now < end_time:
            simulation.schedule(_FLAP_INTERVAL_S, lambda: toggle(server))

    for server in _choose_servers(simulation, event):
        toggle(server)


def _power(simulation: Simulation, event: Event) -> None:
    """Stop all daemons; they restart with an empty placement state."""
    for daemon in simulation.daemons:
        daemon.is_up = False

    def restart() -> None:
        for daemon in simulation.daemons:
            daemon.state = make_placement_state(
                simulation.experiment, daemon.zone
            )
            for server in simulation.servers.values():
                if server.is_up:
                    daemon.list_server(
                        server, simulation.now_ns(), is_new=False
                    )
            daemon.is_up = True

    simulation.schedule(event.for_s + _LIST_LOADING_S, restart)


def _limit(simulation: Simulation, event: Event) -> None:
    """Let servers name a limit of their rate in their answers."""
    for server in _choose_servers(simulation, event):
        server.rate_limit = event.x
        simulation.limit_events.append(LimitEvent(server, event))

        def end(server: Server = server) -> None:
            server.rate_limit = None

        simulation.schedule(event.for_s, end)


def _burst(simulation: Simulation, event: Event) -> None:
    zones = (
        [event.zone]
        if event.zone >= 0
        else range(len(simulation.demand_factors))
    )
    for zone in zones:
        simulation.demand_factors[zone] *= event.x

        def end(zone: int = zone) -> None:
            simulation.demand_factors[zone] /= event.x

        simulation.schedule(event.for_s, end)


def _shift(simulation: Simulation, event: Event) -> None:
    """Move callers to another zone; they keep requesting the same objects."""
    before = tuple(simulation.demand_factors)
    moved_demand = before[event.zone] * event.share
    simulation.demand_factors[event.zone] -= moved_demand
    simulation.demand_factors[event.to_zone] += moved_demand
    fraction = moved_demand / simulation.demand_factors[event.to_zone]
    simulation.arrivals.shifted_callers[event.to_zone] = (event.zone, fraction)

    def end() -> None:
        simulation.arrivals.shifted_callers.pop(event.to_zone)
        simulation.demand_factors[event.zone] += moved_demand
        simulation.demand_factors[event.to_zone] -= moved_demand

    simulation.schedule(event.for_s, end)


def _hot_object(simulation: Simulation, event: Event) -> None:
    simulation.arrivals.hot_object_fraction = event.share

    def end() -> None:
        simulation.arrivals.hot_object_fraction = 0

    simulation.schedule(event.for_s, end)
