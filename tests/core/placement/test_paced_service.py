"""Tests of a busy service with servers that have just started or recovered."""

from itertools import product
from random import Random
from statistics import mean

from tests.core.placement.paced_service import PacedService

from geraniumshelf_core.placement.pacing import (
    is_paced,
)
from geraniumshelf_core.policies import Policies

_OFF = Policies(paces_servers=False)


def _mean_served(service: PacedService, begin: int, end: int) -> float:
    return mean(service.served_share(second) for second in range(begin, end))


def _count_rejections(service: PacedService, begin: int, name: str = '') -> int:
    return sum(
        count
        for (server_name, second), count in service.rejections.items()
        if second >= begin and name in {'', server_name}
    )


def test_server_that_joins_a_busy_service_is_neither_flooded_nor_idle() -> None:
    """Guard against a queue at a server whose objects are all cold.

    Single runs differ by chance, so that the means of several runs count.
    """
    queues: dict[Policies, list[int]] = {Policies(): [], _OFF: []}
    shares: list[float] = []
    for policies, seed in product(queues, range(1, 13)):
        service = PacedService(policies, rate=245, random=Random(seed))
        service.run(10)
        service.join('new')
        service.run(7)
        queues[policies].append(
            max(service.queues['new', at] for at in range(10, 14))
        )
        if policies.paces_servers:
            shares += (service.relative_share('new', at) for at in (13, 14, 15))
            assert not _count_rejections(service, 10)
    assert mean(queues[Policies()]) <= 0.75 * mean(queues[_OFF])
    assert max(queues[Policies()]) < max(queues[_OFF])
    assert mean(shares) >= 0.75


def test_pace_of_a_server_that_joins_ends() -> None:
    """Guard against a pace that outlasts the start of a server."""
    service = PacedService(rate=200, random=Random(7))
    service.run(10)
    service.join('new')
    assert all(
        is_paced(state.servers['new'], service.now) for state in service.states
    )
    service.run(12)
    assert not any(
        is_paced(state.servers['new'], service.now) for state in service.states
    )


def test_zone_that_returns_cold_serves_more_with_pace() -> None:
    """Guard against a service that stays overloaded after an evacuation.

    Half of the servers are cold, and the others have long queues.
    """
    served, rejections = {}, {}
    for policies in (Policies(), _OFF):
        service = PacedService(policies, rate=230, random=Random(1))
        service.run(5)
        service.evacuate(frozenset({'a2'}))
        service.run(5)
        service.evacuate(frozenset())
        service.run(10)
        served[policies] = _mean_served(service, 10, 18)
        rejections[policies] = _count_rejections(service, 10)
    assert served[Policies()] > served[_OFF]
    assert rejections[Policies()] < rejections[_OFF] / 2


def test_server_that_recovers_while_others_are_full_is_not_flooded() -> None:
    """Guard against all waiting requests at the only server without a queue."""
    served, rejections = {}, {}
    for policies in (Policies(), _OFF):
        service = PacedService(policies, rate=330, random=Random(1))
        service.run(7)
        service.fail('s3')
        service.run(13)
        served[policies] = _mean_served(service, 10, 18)
        rejections[policies] = _count_rejections(service, 10, 's3')
    assert served[Policies()] > served[_OFF]
    assert rejections[Policies()] < rejections[_OFF] / 2
