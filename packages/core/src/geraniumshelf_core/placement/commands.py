"""Changes to what a daemon knows of the backend servers."""

from collections.abc import Iterable
from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.notices import notice_of
from geraniumshelf_core.placement.queries import (
    COLD_WINDOW_NS,
    estimated_load,
    is_cold,
    is_leaving,
    looks_warm,
    typical_work,
)
from geraniumshelf_core.placement.spills import plan_spills
from geraniumshelf_core.placement.state import (
    PlacementState,
    ServerView,
    TypicalWork,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Weight of a new answer in the smoothed times.
_SLOWNESS_GAIN: Final = 0.2
_USUAL_GAIN: Final = 0.02
# One answer counts as at most this many times the expected work, so that a
# single slow server is not taken for the usual one.
_MOST_LEARNT: Final = 1.5
# Work of a service against the time within which its answers are on time, as
# the operators of both sites state it: 1.2 to 1.7 times, a third when warm.
_COLD_PART: Final = 1.3
_WARM_PART: Final = 0.4
# Objects that are taken to be warm on a server; the smallest servers of the
# deployments keep about as many.
_MOST_WARM: Final = 24
# Four failed or shed requests in a row reach the ejecting share.
_FAILURE_GAIN: Final = 0.15
_EJECTING_SHARE: Final = 0.4
FAILURES_TO_EJECT: Final = 3
EJECTION_NS: Final[Nanoseconds] = 3 * SECOND_NS
# Time until one request tries a server again that accepted no connection.
_UNREACHABLE_NS: Final[Nanoseconds] = SECOND_NS
# At most this part of a service's servers in a region is ejected at once.
_EJECTED_PART: Final = 3
# A server that shed a request runs one of its queued requests in this time.
_FULL_MS: Final = 50
_FULL_NS: Final[Nanoseconds] = _FULL_MS * MILLISECOND_NS


@frozen
class Outcome:
    """How a request to a server ended.

    Attributes:
        is_failure: Whether it counts against the server.
        is_shed: Whether the server had no room for it.
        is_unreachable: Whether no connection could be opened, or another
            server has the address.
        work: Time until the answer; 0 if there was none.
        object_name: Object that the request concerned.
    """

    is_failure: bool = False
    is_unreachable: bool = False
    is_shed: bool = False
    work: Nanoseconds = 0
    object_name: str = ''


def put_server(
    state: PlacementState,
    server: ListedServer,
    now: Nanoseconds,
    *,
    cold_time: Nanoseconds = 0,
) -> None:
    """Take over the entry of a server.

    Args:
        state: The state to change.
        server: Its entry.
        now: Current time.
        cold_time: Cold time of its service if it has just started, else 0.
    """
    region = state.regions.get(server.zone, '')
    view = state.servers.get(server.name)
    if view is None or view.server.started_at_ms != server.started_at_ms:
        notice = notice_of(state, server.name, server.started_at_ms)
        view = ServerView(server, region, notice)
        state.servers[server.name] = view
    view.server = server
    view.region = region
    cold_for = max(server.cold_left, cold_time)
    if cold_for:
        view.cold_until = max(view.cold_until, now + cold_for)
    rebuild_usable(state)


def remove_server(state: PlacementState, name: str) -> None:
    """Forget a server that is gone."""
    if state.servers.pop(name, None) is not None:
        rebuild_usable(state)


def clear_servers(state: PlacementState) -> None:
    """Forget all servers."""
    state.servers.clear()
    rebuild_usable(state)


def set_evacuated(
    state: PlacementState,
    zones: frozenset[str],
    now: Nanoseconds,
    cold_time: Nanoseconds,
) -> None:
    """Take over the zones that get no new work.

    Servers of a zone that is taken back may have become cold meanwhile.
    """
    returned = state.evacuated - zones
    state.evacuated = zones
    for view in state.servers.values():
        if view.server.zone in returned:
            view.cold_until = max(view.cold_until, now + cold_time)
    rebuild_usable(state)


def rebuild_usable(state: PlacementState) -> None:
    """Rebuild the lists of servers that may get work."""
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
    """Expect the work of a service of which nothing is known yet.

    Args:
        state: The state to change.
        service: Service name.
        target: Time within which its answers are on time.
    """
    if service not in state.typical_work_times:
        state.typical_work_times[service] = TypicalWork(
            target * _WARM_PART, target * _COLD_PART
        )


def begin_request(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> None:
    """Count a request that is sent to a server."""
    state.has_placed_requests = True
    view.in_flight += 1
    count_cold_send(view, now)


def count_cold_send(view: ServerView, now: Nanoseconds) -> None:
    """Count a request against the limit of a server if it is cold."""
    if is_cold(view, now):
        sends = view.cold_send_times
        sends.append(now)
        while now - sends[0] > COLD_WINDOW_NS:
            sends.popleft()


def end_request(
    state: PlacementState,
    view: ServerView,
    outcome: Outcome,
    now: Nanoseconds,
) -> bool:
    """Count the end of a request; return whether the server was ejected."""
    view.in_flight -= 1
    if outcome.is_shed:
        view.full_until = now + _FULL_NS
    if outcome.work:
        _record_work(state, view, outcome, now)
    sample = 1 if outcome.is_failure or outcome.is_shed else 0
    view.failure_rate += _FAILURE_GAIN * (sample - view.failure_rate)
    view.failures = view.failures + 1 if outcome.is_failure else 0
    if outcome.is_unreachable:
        # Its absence is certain, so this needs no bound as an ejection does.
        view.is_unreachable = True
        view.ejected_until = now + _UNREACHABLE_NS
        return True
    if outcome.work:
        view.is_unreachable = False
    is_bad = (
        view.failures >= FAILURES_TO_EJECT
        or view.failure_rate > _EJECTING_SHARE
    )
    return is_bad and _eject(state, view, now)


def eject_if_silent(
    state: PlacementState,
    view: ServerView,
    sent: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Pass over a server that has answered nothing since a request was sent."""
    if view.last_answer_at < sent and view.ejected_until <= now:
        _eject(state, view, now)


def record_report(
    view: ServerView, running: int, waiting: int, now: Nanoseconds
) -> None:
    """Take over the load that a server reported in an answer."""
    view.other_requests = max(0, running + waiting - view.in_flight)
    view.reported_at = now


def record_cold_time(
    view: ServerView, cold_left: Nanoseconds, now: Nanoseconds
) -> None:
    """Take over the cold time that a server reported."""
    view.cold_until = now + cold_left if cold_left else 0


def _record_work(
    state: PlacementState,
    view: ServerView,
    outcome: Outcome,
    now: Nanoseconds,
) -> None:
    service = view.server.service
    usual = state.typical_work_times.setdefault(
        service, typical_work(state, service)
    )
    is_warm = outcome.object_name in view.warm_objects
    if estimated_load(view, now) < view.server.slots:
        is_short = looks_warm(usual, outcome.work)
        by_time = state.policies.tells_warm_by_time
        expected = usual.warm if is_warm or is_short else usual.cold
        _learn_work(
            usual, outcome.work, is_warm=is_short if by_time else is_warm
        )
        sample = outcome.work / max(1, expected)
        view.slowness += _SLOWNESS_GAIN * (sample - view.slowness)
    view.last_answer_at = now
    view.warm_objects.pop(outcome.object_name, None)
    view.warm_objects[outcome.object_name] = None
    if len(view.warm_objects) > _MOST_WARM:
        del view.warm_objects[next(iter(view.warm_objects))]


def _learn_work(
    usual: TypicalWork, work: Nanoseconds, *, is_warm: bool
) -> None:
    if is_warm:
        usual.warm += _step(usual.warm, work)
    else:
        usual.cold += _step(usual.cold, work)
    usual.cold = max(usual.cold, usual.warm)


def _step(expected: float, work: Nanoseconds) -> float:
    return _USUAL_GAIN * (min(work, _MOST_LEARNT * expected) - expected)


def _eject(state: PlacementState, view: ServerView, now: Nanoseconds) -> bool:
    names = _neighbours(state, view)
    ejected = sum(state.servers[name].ejected_until > now for name in names)
    if (ejected + 1) * _EJECTED_PART > len(tuple(names)):
        return False
    view.failures = 0
    view.failure_rate = 0
    view.ejected_until = now + EJECTION_NS
    return True


def _neighbours(state: PlacementState, view: ServerView) -> Iterable[str]:
    return state.usable.get((view.server.service, view.region), ())
