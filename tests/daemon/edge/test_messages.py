"""Tests the encoding of the datagrams between daemons."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.placement.demand import DemandReport
from geraniumshelf_core.placement.readings import (
    MAX_READINGS,
    ServerReadings,
)
from geraniumshelf_core.presence.state import PresenceHeartbeat
from geraniumshelf_core.shares.messages import (
    LoanTokens,
    ShareLoan,
    ShareRequest,
    TokenGrant,
    TokenRequest,
    WholeShareLoan,
    WholeShareRequest,
)
from geraniumshelf_daemon.edge.messages import (
    Message,
    decode_message,
    encode_message,
)

_FIRST_HEARTBEAT = PresenceHeartbeat(
    'n1', 7, 0, 'a1', '10.0.0.1', '10.0.0.1:80', is_ready=False
)


@pytest.mark.parametrize(
    'message',
    [
        _FIRST_HEARTBEAT,
        PresenceHeartbeat(
            'n1',
            7,
            1,
            'a1',
            'i',
            'f',
            is_ready=True,
            cores=0.43,
            rate=12.5,
            configuration_age=9,
            changes=tuple(StoreRevision(1, at) for at in (4, 5, 6)),
            version=9,
            zone_size=3,
            next_heartbeat_in=5,
            known_ips=('i2',),
        ),
        ShareRequest('n1', 5, {'shop': 0.5}),
        ShareLoan('n1', 5, 7, {'shop': 0.25}),
        WholeShareRequest('n1', 5),
        WholeShareLoan('n1', 5),
        TokenRequest('n1', 5, 'shop', 3),
        TokenGrant(5, 'shop', 2, 9),
        ServerReadings('n1', ('s1', 's2'), (3, 1, 250, 12, 0, 0, 100, 40)),
        DemandReport('n1', 'a1', 5, {'shop': 7.5}, {'shop': -0.5}),
        LoanTokens('n1', 5, 900, {'shop': 0.25}),
    ],
)
def test_message_comes_back(message: Message) -> None:
    """A message that its receiver can't decode would be lost."""
    assert decode_message(encode_message(message)) == message


def test_most_readings_stay_below_the_size_of_a_packet() -> None:
    """A datagram in several packets is lost with any one of them."""
    names = tuple(f'server-{number:05}' for number in range(MAX_READINGS))
    figures = (20, 20, 10_000, 999) * MAX_READINGS
    message = ServerReadings('instance-0001', names, figures)
    assert len(encode_message(message)) < 1400


@given(datagram=st.binary(max_size=200))
def test_stray_bytes_are_no_message(datagram: bytes) -> None:
    """An invalid datagram must not end the task that receives datagrams."""
    assert decode_message(datagram) is None


@given(
    version=st.integers(0, 4),
    kind=st.integers(-8, 13),
    fields=st.lists(
        st.one_of(st.text(), st.integers(), st.booleans(), st.none()),
        max_size=12,
    ),
)
def test_message_with_odd_fields_is_refused_or_typed(
    version: int, kind: int, fields: list[object]
) -> None:
    """A field of a wrong type would cause an error later, in a decision."""
    datagram = cbor2.dumps((version, kind, *fields))
    found = decode_message(datagram)
    assert found is None or encode_message(found)
