"""Guards look-up responses against outdated or wrong entry instances."""

import json

import pytest
from attrs import define, evolve

from geraniumshelf_core.configuration.model import (
    ClientBlock,
    Configuration,
    Service,
    ShiftCap,
)
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.lookup.shares import initial_shares
from geraniumshelf_core.plan.model import Plan, SourcePlan
from geraniumshelf_daemon.lookups.service import LookupService


@define
class _Sources:
    """Stub of the configuration, plan and entry sources."""

    revision: int = 0
    version: int = 0
    configuration: Configuration | None = None
    current: Plan | None = None
    members: tuple[EntryInstance, ...] = ()

    def subscribe(self, listener) -> None:
        """Do nothing: changes are detected by revision and version."""

    def plan(self, service: str) -> Plan | None:
        return self.current

    def entries(self) -> tuple[EntryInstance, ...]:
        return self.members


def _plan(**weights: int) -> Plan:
    source = SourcePlan('a', initial_shares(weights))
    return Plan('s', 1, 'p', (source,))


@pytest.fixture
def sources() -> _Sources:
    return _Sources(
        1,
        1,
        Configuration(
            'd',
            services=(Service('s', (), ShiftCap(100_000, 10)),),
            blocks=(
                ClientBlock('10.0.0.0/8', 'a'),
                ClientBlock('10.9.0.0/16', 'b'),
            ),
        ),
        _plan(a=1_000_000),
        tuple(
            EntryInstance(
                f'{region}{number}', 'z', region, f'{region}{number}', '0.1.2'
            )
            for region in 'ab'
            for number in range(3)
        ),
    )


@pytest.fixture
def service(sources: _Sources) -> LookupService:
    return LookupService(sources, sources, sources, 'b')


def _addresses(service: LookupService, client: str) -> list[str]:
    response = service.look_up('s', client, 0)
    return [row['address'] for row in json.loads(response.body)['entries']]


def test_answer_has_the_documented_form(service: LookupService) -> None:
    """Callers depend on the field names."""
    response = service.look_up('s', '10.1.2.3', 0)
    document = json.loads(response.body)
    assert (document['service'], document['ttl_s']) == ('s', response.ttl_s)
    assert document['entries'][0].keys() == {
        'address',
        'zone',
        'region',
        'request_id_prefix',
    }


@pytest.mark.parametrize(
    ('client', 'first'),
    [('10.1.2.3', 'a'), ('10.9.2.3', 'b'), ('11.0.0.1', 'b'), ('::1', 'b')],
)
def test_nearest_region_comes_first(service, client, first) -> None:
    """A client outside all blocks counts as one of the daemon's region."""
    addresses = _addresses(service, client)
    assert [address[0] for address in addresses[:3]] == [first] * 3
    assert len(addresses) == 6


def test_changes_are_seen_at_once(service, sources) -> None:
    """Cached responses must not be used after a change of their sources.

    They would name entry instances that are leaving, or follow an outdated
    plan or configuration.
    """
    first = _addresses(service, '10.1.2.3')[0]
    sources.members = tuple(
        evolve(entry, is_leaving=entry.caller_address == first)
        for entry in sources.members
    )
    sources.version += 1
    assert first not in _addresses(service, '10.1.2.3')
    sources.current = _plan(b=1_000_000)
    sources.version += 1
    assert _addresses(service, '10.1.2.3')[0][0] == 'b'
    sources.configuration = evolve(sources.configuration, blocks=())
    sources.revision += 1
    sources.current = _plan(a=1_000_000)
    assert _addresses(service, '10.1.2.3')[0][0] == 'b'


@pytest.mark.parametrize('name', ['configuration', 'current', 'members'])
def test_missing_parts_are_answered_as_not_ready(
    service, sources, name
) -> None:
    """Without configuration, plan or entries there is nothing to return.

    The daemon must refuse the look-up instead of returning any entries.
    """
    setattr(sources, name, () if name == 'members' else None)
    with pytest.raises(RequestRefused) as caught:
        service.look_up('s', '10.1.2.3', 0)
    assert caught.value.code is ResultCode.NOT_READY


def test_unknown_service_is_refused(service: LookupService) -> None:
    """A misspelt service name must not be reported as an outage."""
    with pytest.raises(RequestRefused) as caught:
        service.look_up('t', '10.1.2.3', 0)
    assert caught.value.code is ResultCode.UNKNOWN_SERVICE


def test_region_of_a_client_needs_no_earlier_look_up(sources) -> None:
    """Requests may arrive before the first look-up.

    Traffic whose source region is unknown would not be counted when plans
    move traffic.
    """
    service = LookupService(sources, sources, sources, 'home')
    assert service.region_of('10.9.1.1') == 'b'
    assert service.region_of('10.8.1.1') == 'a'
    assert service.region_of('192.0.2.1') == 'home'


def test_clients_of_one_block_are_split(service, sources) -> None:
    """A region declared as a single block must not move as a whole."""
    sources.current = _plan(a=500_000, b=500_000)
    sources.version += 1
    firsts = [
        _addresses(service, f'10.1.{number}.{number % 7}')[0][0]
        for number in range(200)
    ]
    assert 70 <= firsts.count('a') <= 130
