"""Guards look-up answers against stale or wrong entries."""

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
    """Stands in for all three sources."""

    revision: int = 0
    version: int = 0
    configuration: Configuration | None = None
    current: Plan | None = None
    members: tuple[EntryInstance, ...] = ()

    def subscribe(self, listener) -> None:
        """Changes are read from the numbers."""

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
    answer = service.answer('s', client, 0)
    return [row['address'] for row in json.loads(answer.body)['entries']]


def test_answer_has_the_documented_form(service: LookupService) -> None:
    """Callers rely on the names of the fields."""
    answer = service.answer('s', '10.1.2.3', 0)
    document = json.loads(answer.body)
    assert (document['service'], document['ttl_s']) == ('s', answer.ttl_s)
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
    """A client outside all blocks is served by the daemon's own region."""
    addresses = _addresses(service, client)
    assert [address[0] for address in addresses[:3]] == [first] * 3
    assert len(addresses) == 6


def test_changes_are_seen_at_once(service, sources) -> None:
    """A prepared answer must not outlive a member or a plan revision."""
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
    """A daemon without state must not send callers anywhere."""
    setattr(sources, name, () if name == 'members' else None)
    with pytest.raises(RequestRefused) as caught:
        service.answer('s', '10.1.2.3', 0)
    assert caught.value.code is ResultCode.NOT_READY


def test_unknown_service_is_refused(service: LookupService) -> None:
    """A misspelt name must not look like an outage."""
    with pytest.raises(RequestRefused) as caught:
        service.answer('t', '10.1.2.3', 0)
    assert caught.value.code is ResultCode.UNKNOWN_SERVICE


def test_region_of_a_client_needs_no_earlier_look_up(sources) -> None:
    """Traffic of an unknown source would be moved as if it were none."""
    service = LookupService(sources, sources, sources, 'home')
    assert service.region_of('10.9.1.1') == 'b'
    assert service.region_of('10.8.1.1') == 'a'
    assert service.region_of('192.0.2.1') == 'home'


def test_clients_of_one_block_are_split(service, sources) -> None:
    """A region with a single block must not move as a whole."""
    sources.current = _plan(a=500_000, b=500_000)
    sources.version += 1
    firsts = [
        _addresses(service, f'10.1.{number}.{number % 7}')[0][0]
        for number in range(200)
    ]
    assert 70 <= firsts.count('a') <= 130
