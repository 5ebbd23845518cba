"""Updates the placement state from store entries, requests and responses."""

from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.cold_starts import (
    get_send_times,
    needs_checks,
)
from geraniumshelf_core.placement.ejections import eject, eject_unreachable
from geraniumshelf_core.placement.estimates import (
    estimated_load,
    looks_warm,
    typical_work,
)
from geraniumshelf_core.placement.notices import get_notice
from geraniumshelf_core.placement.pacing import (
    begin_cold_start,
    update_pace,
)
from geraniumshelf_core.placement.queries import is_leaving, preferred_servers
from geraniumshelf_core.placement.rejections import (
    is_outlier,
    record_attempt,
)
from geraniumshelf_core.placement.spills import plan_spills
from geraniumshelf_core.placement.state import (
    PlacementRequest,
    PlacementState,
    ServerView,
    TypicalWork,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Weight of a new sample in the moving averages.
_SLOWNESS_GAIN: Final = 0.2
_TYPICAL_WORK_GAIN: Final = 0.02
# A sample counts as at most this multiple of the expected work, so that a
# single slow server does not distort the average of the service.
_MAX_SAMPLE_RATIO: Final = 1.5
# Initial work of a service as a multiple of its target latency. The operators
# of both sites state 1.2 to 1.7 for cold objects and a third of that for warm
# ones.
_COLD_WORK_RATIO: Final = 1.3
_WARM_WORK_RATIO: Final = 0.4
# Objects per server that count as warm; the smallest servers of the
# deployments keep about as many.
_MAX_WARM_OBJECTS: Final = 24
# Four failed or shed requests in a row exceed the ejection threshold.
_FAILURE_GAIN: Final = 0.15
_EJECTION_FAILURE_RATE: Final = 0.4
FAILURES_TO_EJECT: Final = 3
# A server that shed a request counts as full for this time, in which it can
# start one of its queued requests.
_FULL_PAUSE_MS: Final = 50
_FULL_PAUSE_NS: Final[Nanoseconds] = _FULL_PAUSE_MS * MILLISECOND_NS


@frozen
class Outcome:
    """Result of one request to a server.

    Attributes:
        is_failure: Whether it counts as a failure of the server.
        is_unreachable: Whether no connection could be opened, or another
            server answered at the address.
        is_shed: Whether the server rejected it because it was full.
        is_partial: Whether the server rejected it without being full.
        work: Time until the response, without the network delay, at the usual
            speed of the server; 0 if there was no response.
        object_name: Object that the request concerned.
    """

    is_failure: bool = False
    is_unreachable: bool = False
    is_shed: bool = False
    is_partial: bool = False
    work: Nanoseconds = 0
    object_name: str = ''


def put_server(
    state: PlacementState,
    server: ListedServer,
    now: Nanoseconds,
    *,
    cold_time: Nanoseconds = 0,
) -> None:
    """Add a server or update its entry.

    A server with a new start time gets a new view, because nothing that was
    learnt before the restart applies to it.

    Args:
        state: The state to change.
        server: Entry of the server in the store.
        now: Current time.
        cold_time: Duration of a cold start of its service if the server has
            just started, else 0.
    """
    region = state.regions.get(server.zone, '')
    view = state.servers.get(server.name)
    if view is None or view.server.started_at_ms != server.started_at_ms:
        notice = get_notice(state, server.name, server.started_at_ms)
        send_times = get_send_times(state, server.name, now)
        view = ServerView(server, region, notice, send_times)
        state.servers[server.name] = view
    view.server = server
    view.region = region
    cold_for = max(server.cold_left, cold_time)
    if cold_for:
        begin_cold_start(state, view, cold_for, now)
    rebuild_usable(state)


def remove_server(state: PlacementState, name: str) -> None:
    """Remove a server whose entry is gone."""
    if state.servers.pop(name, None) is not None:
        rebuild_usable(state)


def clear_servers(state: PlacementState) -> None:
    """Remove all servers."""
    state.servers.clear()
    rebuild_usable(state)


def set_evacuated(
    state: PlacementState,
    zones: frozenset[str],
    now: Nanoseconds,
    cold_time: Nanoseconds,
) -> None:
    """Replace the set of zones that get no new work.

    Servers of a zone that returns count as cold for the given time, because
    they may have become cold without requests.
    """
    returned = state.evacuated - zones
    state.evacuated = zones
    for view in state.servers.values():
        if view.server.zone in returned:
            begin_cold_start(state, view, cold_time, now)
    rebuild_usable(state)


def rebuild_usable(state: PlacementState) -> None:
    """Rebuild the lists of usable servers and all that depends on them."""
    usable: dict[tuple[str, str], list[str]] = {}
    for name, view in state.servers.items():
        server = view.server
        if not is_leaving(view) and server.zone not in state.evacuated:
            group = usable.setdefault((server.service, view.region), [])
            group.append(name)
    state.usable = {key: tuple(names) for key, names in usable.items()}
    state.rankings.clear()
    plan_spills(state)


def set_initial_work(
    state: PlacementState, service: str, target: Nanoseconds
) -> None:
    """Set the expected work of a service unless it is known already.

    Args:
        state: The state to change.
        service: Service name.
        target: Target latency of the service.
    """
    if service not in state.typical_work_times:
        state.typical_work_times[service] = TypicalWork(
            target * _WARM_WORK_RATIO, target * _COLD_WORK_RATIO
        )


def begin_request(state: PlacementState, view: ServerView) -> None:
    """Record that a server was chosen for a request."""
    state.has_placed_requests = True
    view.in_flight += 1


def record_need(
    state: PlacementState, request: PlacementRequest, now: Nanoseconds
) -> None:
    """Record which servers a request needs, so that they are checked."""
    if needs_checks(state, now):
        for view in preferred_servers(state, request):
            view.needed_at = now


def end_request(
    state: PlacementState,
    view: ServerView,
    outcome: Outcome,
    now: Nanoseconds,
) -> bool:
    """Record the end of a request; return whether the server was ejected."""
    view.in_flight -= 1
    if outcome.is_partial:
        return _end_rejected(state, view, now)
    is_bad = outcome.is_failure or outcome.is_shed
    update_pace(
        state, view, outcome.work, outcome.object_name, now, is_bad=is_bad
    )
    if outcome.is_shed:
        view.full_until = now + _FULL_PAUSE_NS
    if outcome.work:
        record_attempt(state, view, now, is_rejected=False)
        _record_work(state, view, outcome, now)
    sample = 1 if is_bad else 0
    view.failure_rate += _FAILURE_GAIN * (sample - view.failure_rate)
    view.failures = view.failures + 1 if outcome.is_failure else 0
    if outcome.is_unreachable:
        eject_unreachable(state, view, now)
        return True
    if outcome.work:
        view.is_unreachable = False
    is_failing = (
        view.failures >= FAILURES_TO_EJECT
        or view.failure_rate > _EJECTION_FAILURE_RATE
    )
    return is_failing and eject(state, view, now)


def record_report(
    view: ServerView, running: int, waiting: int, now: Nanoseconds
) -> None:
    """Record the load that a server reported in a response."""
    view.other_requests = max(0, running + waiting - view.in_flight)
    view.longest_queue = max(view.longest_queue, waiting)
    view.reported_at = now


def _end_rejected(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    # The server responded, so it is reachable. Whether it completes the
    # requests that it accepts is not known, so its failures stay as they are.
    view.is_unreachable = False
    record_attempt(state, view, now, is_rejected=True)
    if view.ejected_until > now or not is_outlier(state, view, now):
        return False
    return eject(state, view, now)


def _record_work(
    state: PlacementState,
    view: ServerView,
    outcome: Outcome,
    now: Nanoseconds,
) -> None:
    service = view.server.service
    typical = state.typical_work_times.setdefault(
        service, typical_work(state, service)
    )
    is_warm = outcome.object_name in view.warm_objects
    if estimated_load(view, now) < view.server.slots:
        is_short = looks_warm(typical, outcome.work)
        by_time = state.policies.tells_warm_by_time
        expected = typical.warm if is_warm or is_short else typical.cold
        _update_average(
            typical, outcome.work, is_warm=is_short if by_time else is_warm
        )
        sample = outcome.work / max(1, expected)
        view.slowness += _SLOWNESS_GAIN * (sample - view.slowness)
    view.last_response_at = now
    view.warm_objects.pop(outcome.object_name, None)
    view.warm_objects[outcome.object_name] = None
    if len(view.warm_objects) > _MAX_WARM_OBJECTS:
        del view.warm_objects[next(iter(view.warm_objects))]


def _update_average(
    typical: TypicalWork, work: Nanoseconds, *, is_warm: bool
) -> None:
    sample = 0 if is_warm else 1
    typical.cold_fraction += _TYPICAL_WORK_GAIN * (
        sample - typical.cold_fraction
    )
    if is_warm:
        typical.warm += _average_change(typical.warm, work)
    else:
        typical.cold += _average_change(typical.cold, work)
    typical.cold = max(typical.cold, typical.warm)


def _average_change(average: float, work: Nanoseconds) -> float:
    return _TYPICAL_WORK_GAIN * (
        min(work, _MAX_SAMPLE_RATIO * average) - average
    )
