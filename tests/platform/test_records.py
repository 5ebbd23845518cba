"""Tests of the decoding of objects in the platform's store."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.site.model import (
    Destination,
    ListedServer,
    Repeatability,
    SiteConfiguration,
)
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.interface import ListedInstance, RecordKind
from geraniumshelf_platform.records import decode_record, encode_instance

SERVER: dict[str, Any] = {
    'service': 'desk',
    'address': '10.128.0.9:8080',
    'zone': 'a1',
    'version': 'v1',
    'max_concurrency': 9,
    'state': 'ready',
    'cold_left_s': 1.5,
    'sequence': 4,
    'born': 1700000000000,
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'services': [
        {
            'name': 'desk',
            'health_path': '/health',
            'max_conns': 330,
            'cold_start_s': 3.0,
            'cold_per_s': 15.0,
        }
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    },
    'tenants': [
        {
            'name': 'shop',
            'api_keys': ['k1', 'k2'],
            'priority': 1,
            'rate_per_s': 261,
            'burst': 30,
            'allowed_regions': ['a'],
        }
    ],
    'hosts': [
        {
            'host': 'Shop.example',
            'paths': [
                {
                    'name': 'r1',
                    'path_prefix': '/a/',
                    'kind': 'safe',
                    'timeout_s': 2,
                    'target_latency_s': 0.3,
                    'priority': 2,
                    'traffic_split': [
                        {'service': 'desk', 'weight': 90},
                        {'service': 'mail', 'weight': 10},
                    ],
                    'max_attempts': 2,
                    'public': False,
                    'session_affinity': True,
                    'allowed_regions': [],
                },
                {
                    'name': 'r2',
                    'path_prefix': '/b/',
                    'kind': 'upload',
                    'timeout_s': 2,
                    'target_latency_s': 0.3,
                    'service': 'desk',
                    'public': True,
                },
            ],
        }
    ],
}

_UNEXPECTED_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 3),
    st.floats(),
    st.text(max_size=4),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=2), st.integers(), max_size=2),
)


def test_server_entry_is_decoded() -> None:
    """Units and states must be converted to those of the daemon."""
    assert decode_record(RecordKind.SERVERS, 'i-1', SERVER) == ListedServer(
        'i-1',
        'desk',
        '10.128.0.9:8080',
        'a1',
        9,
        cold_left=3 * SECOND_NS // 2,
        started_at_ms=1700000000000,
        sequence=4,
    )


@given(field=st.sampled_from(sorted(SERVER)), unexpected=_UNEXPECTED_VALUES)
def test_odd_server_entry_is_refused_or_decoded(
    field: str, unexpected: Any
) -> None:
    """An entry with unexpected values must not stop the daemon."""
    entry = {**SERVER, field: unexpected}
    try:
        found = decode_record(RecordKind.SERVERS, 'i-1', entry)
    except PlatformError as error:
        assert error.code is ResultCode.PLATFORM_PROTOCOL
    else:
        assert isinstance(found, ListedServer)


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'state'])
def test_server_entry_without_a_field_names_no_server(field: str) -> None:
    """With a guessed address or service, requests run on the wrong server."""
    entry = {name: content for name, content in SERVER.items() if name != field}
    with pytest.raises(PlatformError):
        decode_record(RecordKind.SERVERS, 'i-1', entry)


@pytest.mark.parametrize('spec', [None, 'text', 7, ['rows']])
def test_spec_that_is_no_table_is_refused(spec: object) -> None:
    """Other writers may store objects of any form."""
    with pytest.raises(PlatformError):
        decode_record(RecordKind.SERVERS, 'i-1', spec)


def test_configuration_is_decoded() -> None:
    """A field that is decoded wrongly changes where requests run."""
    found = decode_record(RecordKind.CONFIGURATION, 'main', CONFIGURATION)
    assert isinstance(found, SiteConfiguration)
    split, upload = found.hosts['shop.example']
    assert split.destinations == (
        Destination('desk', 90),
        Destination('mail', 10),
    )
    assert split.repeatability is Repeatability.IDEMPOTENT
    assert split.has_affinity
    assert upload.repeatability is Repeatability.AT_MOST_ONCE
    assert upload.is_open
    assert upload.destinations == (Destination('desk', 1),)
    assert found.accounts['shop'].keys == ('k1', 'k2')
    assert found.accounts['shop'].regions == {'a'}
    assert found.services['desk'].cold_time == 3 * SECOND_NS
    assert found.limits.idle_timeout == 15 * SECOND_NS


def test_unknown_kind_of_request_refuses_the_configuration() -> None:
    """Treated as idempotent, a request such as a sale could run twice."""
    host = CONFIGURATION['hosts'][0]
    unexpected = {**host['paths'][1], 'kind': 'maybe'}
    changed = {**CONFIGURATION, 'hosts': [{**host, 'paths': [unexpected]}]}
    with pytest.raises(PlatformError):
        decode_record(RecordKind.CONFIGURATION, 'main', changed)


def test_instance_entry_comes_back() -> None:
    """Daemons find each other through the entries that they store."""
    instance = ListedInstance('n1', 'a1', '10.0.0.1', 0.86)
    spec = encode_instance(instance)
    assert decode_record(RecordKind.INSTANCES, 'n1', spec) == instance
