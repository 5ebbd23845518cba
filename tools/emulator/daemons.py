"""Daemons of an emulation: the decision modules with what one of them knows."""

from random import Random
from typing import Final

from attrs import define

from geraniumshelf_core.admission.verdict import (
    Admitted,
    Rejected,
    decide_admission,
)
from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    put_server,
    record_report,
    remove_server,
    set_evacuated,
    set_initial_work,
)
from geraniumshelf_core.placement.notices import record_pause
from geraniumshelf_core.placement.queries import (
    choose_server,
    is_crowded,
    time_until_available,
)
from geraniumshelf_core.placement.spills import adjust_spills
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementRequest,
    PlacementState,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    Nanoseconds,
    seconds_to_ns,
)
from tools.emulator.experiment import Experiment, Kind
from tools.emulator.servers import Done, Server

# Largest change of a service's spilled share between two adjustments, and the
# time between them; the daemon's usual values at a cap of 15% in 2 s.
_SPILL_STEP: Final = 0.0075
SPILL_INTERVAL_S: Final = 0.25
# Rate limit of cold servers, as the daemon takes it from its bounds.
_COLD_OVERSHOOT: Final = 1.5
_COLD_SLACK: Final = 5


def zone_name(zone: int) -> str:
    """Return the name of a zone.

    >>> zone_name(3)
    'z3'
    """
    return f'z{zone}'


@define(eq=False)
class Daemon:
    """One daemon.

    Attributes:
        zone: Its zone.
        state: What it knows of the servers.
        is_up: Whether it serves.
    """

    zone: int
    state: PlacementState
    is_up: bool = True

    def place(
        self,
        kind: Kind,
        name: str,
        excluded: frozenset[str],
        target: Nanoseconds,
        left: Nanoseconds,
        now: Nanoseconds,
        random: Random,
    ) -> Admitted | Rejected:
        """Return where a request goes, or that it is rejected.

        Args:
            kind: Its kind.
            name: Its object.
            excluded: Servers that have had it.
            target: Time within which its answer is on time.
            left: Time until its deadline.
            now: Current time.
            random: Spreads the returns.
        """
        wish = PlacementRequest(
            kind.service, f'{kind.name}/{name}', excluded=excluded
        )
        choice = choose_server(self.state, wish, now)
        opening = (
            None if choice else time_until_available(self.state, wish, now)
        )
        crowded = choice is not None and is_crowded(
            self.state, kind.service, choice.view.region, now
        )
        return decide_admission(
            choice,
            target,
            left,
            random.random(),
            opening,
            self.state.policies,
            is_crowded=crowded,
        )

    def begin(self, choice: Candidate, now: Nanoseconds) -> None:
        """Count a request that is sent."""
        begin_request(self.state, choice.view, now)

    def end(
        self,
        choice: Candidate,
        kind: Kind,
        name: str,
        done: Done | None,
        work: Nanoseconds,
        now: Nanoseconds,
    ) -> None:
        """Count the end of a request; ``None`` stands for no answer."""
        if done is None:
            outcome = Outcome(is_failure=True, is_unreachable=True)
        elif not done.is_run:
            outcome = Outcome(is_shed=True)
        else:
            outcome = Outcome(
                is_failure=done.is_failed,
                work=max(1, work - choice.network_delay),
                object_name=f'{kind.name}/{name}',
            )
        end_request(self.state, choice.view, outcome, now)
        if done is not None and done.is_run:
            record_report(choice.view, done.running, done.waiting, now)
        if done is not None and done.pause_s:
            record_pause(choice.view, seconds_to_ns(done.pause_s), now)

    def list_server(
        self, server: Server, now: Nanoseconds, *, is_new: bool
    ) -> None:
        """Take over the entry of a server."""
        cold_s = server.service.cold_start_s if is_new else 0
        entry = ListedServer(
            server.name,
            server.service.name,
            server.name,
            zone_name(server.zone),
            server.service.slots,
            started_at_ms=server.starts,
        )
        put_server(self.state, entry, now, cold_time=seconds_to_ns(cold_s))

    def drop_server(self, name: str) -> None:
        """Take over that the entry of a server is gone."""
        remove_server(self.state, name)

    def evacuate(
        self, zones: frozenset[int], cold_s: float, now: Nanoseconds
    ) -> None:
        """Take over which zones get no work."""
        names = frozenset(map(zone_name, zones))
        set_evacuated(self.state, names, now, seconds_to_ns(cold_s))

    def adjust(self, now: Nanoseconds) -> None:
        """Move the spilled shares by a step."""
        adjust_spills(self.state, _SPILL_STEP, now)


def make_state(experiment: Experiment, zone: int) -> PlacementState:
    """Return what a daemon knows that has just started."""
    zones = range(experiment.zone_count)
    regions = {zone_name(one): f'r{experiment.region_of(one)}' for one in zones}
    state = PlacementState(
        Place(zone_name(zone), regions[zone_name(zone)]),
        regions,
        policies=experiment.policies,
    )
    near = experiment.zones * experiment.daemons
    for service in experiment.services:
        limit = service.cold_per_s * _COLD_OVERSHOOT + _COLD_SLACK
        state.cold_rate_per_share[service.name] = limit / near
    for kind in experiment.kinds:
        target = round(kind.target_ms * MILLISECOND_NS)
        set_initial_work(state, kind.service, target)
    return state
