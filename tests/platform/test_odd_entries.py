"""Tests of entries that another writer left among those of the servers."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.test_records import SERVER

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_daemon.edge.interface import RecordKind
from geraniumshelf_platform.pages import read_page
from geraniumshelf_platform.records import decode_record

_HUGE = 10**400
_ODD_VALUES: list[tuple[str, Any]] = [
    ('max_concurrency', _HUGE),
    ('max_concurrency', 1e300),
    ('max_concurrency', 10**9),
    ('cold_left_s', _HUGE),
    ('cold_left_s', 1e300),
    ('born', _HUGE),
    ('sequence', 1e300),
    ('address', '10.0.0.1:65536'),
    ('address', '10.0.0.1:99999999999999999999'),
    ('address', '10.0.0.1:-1'),
    ('address', 'a host:80'),
    ('address', '\x00:80'),
    ('address', 'x' * 300 + ':80'),
    ('address', '10.0.0.256:80'),
    ('service', '\ud800'),
    ('zone', '\ud800'),
]


@pytest.mark.parametrize(('field', 'odd'), _ODD_VALUES)
def test_value_out_of_range_is_refused(field: str, odd: Any) -> None:
    """Guard against an entry that fails later than it is read."""
    with pytest.raises(PlatformError) as caught:
        decode_record(RecordKind.SERVERS, 'i-1', {**SERVER, field: odd})
    assert caught.value.code is ResultCode.PLATFORM_PROTOCOL


@pytest.mark.parametrize('name', ['', 'a\r\nb', 'a b', '\ud800', 'x' * 300])
def test_name_that_no_header_can_carry_is_refused(name: str) -> None:
    """Guard against requests that fail because of the name of a server."""
    with pytest.raises(PlatformError) as caught:
        decode_record(RecordKind.SERVERS, name, SERVER)
    assert caught.value.code is ResultCode.PLATFORM_PROTOCOL


def _page(spec: bytes) -> bytes:
    good = json.dumps(SERVER).encode()
    return (
        b'{"items": [{"metadata": {"name": "i-1"}, "spec": %b},'
        b' {"metadata": {"name": "odd"}, "spec": %b},'
        b' {"metadata": {"name": "i-2"}, "spec": %b}],'
        b' "store_revision": 7}' % (good, spec, good)
    )


@pytest.mark.parametrize(
    'spec',
    [
        b'[' * 200_000 + b']' * 200_000,
        b'{"a":' * 200_000 + b'1' + b'}' * 200_000,
        b'[' * 50_000 + b'"] \\" ["' + b']' * 50_000,
        b'{"max_concurrency": ' + b'9' * 5000 + b'}',
        b'{"zone": "\xff\xfe"}',
        b'1e999',
        b'-' + b'1' * 5000,
    ],
    ids=[
        'lists',
        'objects',
        'brackets in text',
        'number',
        'bytes',
        'inf',
        'int',
    ],
)
def test_unreadable_spec_leaves_the_other_entries_readable(spec: bytes) -> None:
    """Guard against a list that no daemon can read because of one entry."""
    page = read_page('/objects/servers', _page(spec))
    specs = {item['metadata']['name']: item['spec'] for item in page['items']}
    assert specs['i-1'] == specs['i-2'] == SERVER
    with pytest.raises(PlatformError):
        decode_record(RecordKind.SERVERS, 'odd', specs['odd'])


def _nest(depth: int) -> Any:
    nested: Any = 1
    for _ in range(depth):
        nested = [nested]
    return nested


def _put_odd_values(harness: EdgeHarness) -> None:
    for index, (field, odd) in enumerate(_ODD_VALUES):
        entry = harness.servers['i-1'].make_entry('desk', 'a1')
        harness.store.put('servers', f'odd-{index}', {**entry, field: odd})


def _put_nested(harness: EdgeHarness) -> None:
    harness.store.put('servers', 'odd', {'service': _nest(900)})


def _put_text(harness: EdgeHarness) -> None:
    harness.store.put('servers', 'odd', 'no object')


@pytest.mark.parametrize('put', [_put_odd_values, _put_nested, _put_text])
def test_odd_entry_does_not_stop_the_following_of_servers(
    put: Callable[[EdgeHarness], None],
) -> None:
    """Guard against daemons that follow the store no more."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            put(harness)
            harness.store.remove('servers', 'i-2')
            placement = harness.daemon._state.placement

            async def is_followed() -> bool:
                return set(placement.servers) == {'i-1'}

            await harness.wait_until(is_followed)
            harness.store.compact()
            entry = servers['i-2'].make_entry('desk', 'a1')
            harness.store.put('servers', 'i-2', entry)

            async def is_listed_again() -> bool:
                return set(placement.servers) == {'i-1', 'i-2'}

            await harness.wait_until(is_listed_again)
            caller = await harness.connect()
            for number in range(5):
                response = await caller.fetch(f'/read/{number}')
                assert response.status == 200

    run_scenario(scenario)
