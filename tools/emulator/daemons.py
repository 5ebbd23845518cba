"""Simulated daemons: the decision modules with the state of one daemon."""

from random import Random
from typing import Final

from attrs import define

from geraniumshelf_core.admission.verdict import (
    Admitted,
    Rejected,
    decide_admission,
)
from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.cold_starts import confirm_list, record_send
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
from geraniumshelf_core.placement.demand import count_request
from geraniumshelf_core.placement.limited_servers import (
    has_permit,
    use_permit,
)
from geraniumshelf_core.placement.notices import record_pause
from geraniumshelf_core.placement.queries import (
    choose_server,
    is_crowded,
    preferred_limited_servers,
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
    SECOND_NS,
    Nanoseconds,
    seconds_to_ns,
)
from tools.emulator.experiment import Experiment, Kind
from tools.emulator.peers import LimitPeer
from tools.emulator.servers import RunResult, Server

# Largest change of a service's spilled fraction between two adjustments, and
# the time between them. A daemon uses the same values for a shift cap of 15%
# in 2 s.
_MAX_SPILL_STEP: Final = 0.0075
SPILL_INTERVAL_S: Final = 0.25
# The rate limit of a cold server is its rate times the factor plus the
# allowance, as with the bounds of the daemon.
_COLD_RATE_FACTOR: Final = 1.5
_COLD_RATE_ALLOWANCE: Final = 5
# Longer than any experiment.
_EMULATED_CONTACT_S: Final = 3600
_EMULATED_CONTACT_NS: Final[Nanoseconds] = _EMULATED_CONTACT_S * SECOND_NS


def zone_name(zone: int) -> str:
    """Return the name of a zone.

    >>> zone_name(3)
    'z3'
    """
    return f'z{zone}'


@define(eq=False)
class Daemon:
    """One simulated daemon.

    Attributes:
        zone: Zone of the daemon.
        state: Its view of the servers.
        is_up: Whether it accepts requests.
        peer: Its part in the exchange of limits and permits.
    """

    zone: int
    state: PlacementState
    is_up: bool = True
    peer: LimitPeer | None = None

    def admit(
        self,
        kind: Kind,
        name: str,
        excluded: frozenset[str],
        target: Nanoseconds,
        time_left: Nanoseconds,
        now: Nanoseconds,
        random: Random,
    ) -> Admitted | Rejected:
        """Choose a server for a request, or reject the request.

        Args:
            kind: Kind of the request.
            name: Name of the requested object.
            excluded: Servers that have already received the request.
            target: Time within which the answer is on time.
            time_left: Time until the deadline.
            now: Current time.
            random: Source of the jitter on ``Retry-After``.
        """
        if not excluded:
            count_request(self.state.demand, kind.service)
        request = PlacementRequest(
            kind.service, f'{kind.name}/{name}', excluded=excluded
        )
        candidate = choose_server(self.state, request, now)
        available_in = (
            None
            if candidate
            else time_until_available(self.state, request, now)
        )
        is_region_crowded = candidate is not None and is_crowded(
            self.state, kind.service, candidate.view.region, now
        )
        return decide_admission(
            candidate,
            target,
            time_left,
            random.random(),
            available_in,
            self.state.policies,
            is_crowded=is_region_crowded,
        )

    def record_start(self, candidate: Candidate, now: Nanoseconds) -> None:
        """Record that a request is sent to a server."""
        begin_request(self.state, candidate.view)
        record_send(candidate.view, now)
        use_permit(candidate.view, now)

    def request_permit(
        self,
        kind: Kind,
        name: str,
        excluded: frozenset[str],
        now: Nanoseconds,
    ) -> bool:
        """Request a permit for the first server that a request prefers.

        Args:
            kind: Kind of the request.
            name: Name of the requested object.
            excluded: Servers that have already received the request.
            now: Current time.

        Returns:
            Whether the reply is worth waiting for.
        """
        if not self.state.limited or self.peer is None:
            return False
        request = PlacementRequest(
            kind.service, f'{kind.name}/{name}', excluded=excluded
        )
        for view in tuple(preferred_limited_servers(self.state, request, now)):
            view.notice.permits.needs += 1
            if has_permit(view, now):
                return False
            if self.peer.permits.request(view, now):
                return True
            if has_permit(view, now):
                return False
        return False

    def record_completion(
        self,
        candidate: Candidate,
        kind: Kind,
        name: str,
        result: RunResult | None,
        work: Nanoseconds,
        now: Nanoseconds,
    ) -> None:
        """Record the end of a request.

        Args:
            candidate: Server to which the request was sent.
            kind: Kind of the request.
            name: Name of the requested object.
            result: Answer of the server, ``None`` if there was none.
            work: Time from sending the request to its end.
            now: Current time.
        """
        if result is None:
            outcome = Outcome(is_failure=True, is_unreachable=True)
        elif not result.is_executed:
            outcome = Outcome(is_shed=True)
        else:
            outcome = Outcome(
                is_failure=result.is_failed,
                work=max(1, work - candidate.network_delay),
                object_name=f'{kind.name}/{name}',
            )
        end_request(self.state, candidate.view, outcome, now)
        if result is not None and result.is_executed:
            record_report(
                candidate.view, result.running_count, result.queued_count, now
            )
        if result is not None and self.peer is not None:
            self.peer.limits.record(
                candidate.view, result.limit, now - max(0, work)
            )
        if result is not None and result.pause_s:
            record_pause(candidate.view, seconds_to_ns(result.pause_s), now)

    def list_server(
        self, server: Server, now: Nanoseconds, *, is_new: bool
    ) -> None:
        """Add a server to the server list.

        Args:
            server: Server that is added.
            now: Current time.
            is_new: Whether the server has just started and is cold.
        """
        cold_s = server.service.cold_start_s if is_new else 0
        entry = ListedServer(
            server.name,
            server.service.name,
            server.name,
            zone_name(server.zone),
            server.service.slots,
            started_at_ms=server.start_count,
        )
        put_server(self.state, entry, now, cold_time=seconds_to_ns(cold_s))

    def delist_server(self, name: str) -> None:
        """Remove a server from the server list."""
        remove_server(self.state, name)

    def set_evacuated_zones(
        self, zones: frozenset[int], cold_s: float, now: Nanoseconds
    ) -> None:
        """Set the zones that receive no requests.

        Args:
            zones: All evacuated zones.
            cold_s: Time for which a zone counts as cold after its return,
                seconds.
            now: Current time.
        """
        zone_names = frozenset(map(zone_name, zones))
        set_evacuated(self.state, zone_names, now, seconds_to_ns(cold_s))

    def step_spills(self, now: Nanoseconds) -> None:
        """Adjust the spilled fraction of each service by one step."""
        adjust_spills(self.state, _MAX_SPILL_STEP, now)


def make_placement_state(experiment: Experiment, zone: int) -> PlacementState:
    """Return the placement state of a daemon that has just started."""
    zones = range(experiment.zone_count)
    regions = {
        zone_name(other_zone): f'r{experiment.region_of(other_zone)}'
        for other_zone in zones
    }
    state = PlacementState(
        Place(zone_name(zone), regions[zone_name(zone)]),
        regions,
        policies=experiment.policies,
    )
    # The emulated daemons learn of cold starts without delay.
    confirm_list(state, _EMULATED_CONTACT_NS)
    daemons_per_region = experiment.zones * experiment.daemons
    for service in experiment.services:
        limit = service.cold_per_s * _COLD_RATE_FACTOR + _COLD_RATE_ALLOWANCE
        state.cold_rate_per_share[service.name] = limit / daemons_per_region
    for kind in experiment.kinds:
        target = round(kind.target_ms * MILLISECOND_NS)
        set_initial_work(state, kind.service, target)
    return state
