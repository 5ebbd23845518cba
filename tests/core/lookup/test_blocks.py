"""Tests that the table of client blocks yields the right sites."""

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.errors import ConfigurationError
from geraniumshelf_core.lookup.blocks import NO_SITE, Network, build_table


@st.composite
def _networks(draw: st.DrawFn) -> Network:
    length = draw(st.sampled_from([0, 1, 2, 8, 24, 30, 31, 32]))
    # Few distinct bits make nested and adjacent networks likely.
    address = draw(st.integers(0, 7)) << 29 | draw(st.integers(0, 7))
    return Network(address >> (32 - length) << (32 - length), length, 0)


@given(
    st.lists(_networks(), max_size=12, unique=True),
    st.integers(0, 7),
    st.integers(0, 9),
)
def test_longest_prefix_wins(networks, high, low) -> None:
    """A client in a nested network must not get the site around it."""
    numbered = [
        Network(network.start, network.prefix_length, site)
        for site, network in enumerate(networks)
    ]
    table = build_table(numbered)
    address = high << 29 | low
    matching = [
        network
        for network in numbered
        if ipaddress.IPv4Address(address)
        in ipaddress.ip_network((network.start, network.prefix_length))
    ]
    longest = max(
        matching, key=lambda network: network.prefix_length, default=None
    )
    assert table.find(address)[1] == (longest.site if longest else NO_SITE)
    assert list(table.starts) == sorted(set(table.starts))


def test_last_address_is_found() -> None:
    """The last address of the address space must belong to a block."""
    table = build_table([Network(0xFFFFFFFF, 32, 4), Network(0, 1, 2)])
    assert table.find(0xFFFFFFFF) == (0xFFFFFFFF, 4)
    assert table.find(0xFFFFFFFE) == (0x80000000, NO_SITE)
    assert table.find(0) == (0, 2)


def test_neighbouring_networks_of_a_site_stay_apart() -> None:
    """A single block for many networks would move all of them in one step."""
    networks = [Network(number << 8, 24, 3) for number in range(8, 12)]
    table = build_table(networks)
    starts = [table.find(network.start + 9)[0] for network in networks]
    assert starts == [network.start for network in networks]


@pytest.mark.parametrize(
    'network',
    [
        Network(1, 24, 0),
        Network(0, 33, 0),
        Network(1 << 32, 32, 0),
        Network(0, 8, NO_SITE),
    ],
)
def test_wrong_networks_are_refused(network: Network) -> None:
    """A field that overflows its bits would corrupt the adjacent fields."""
    with pytest.raises(ConfigurationError):
        build_table([network])


def test_neighbouring_blocks_of_a_site_stay_apart() -> None:
    """A merged block has a single point, so a step would move all of it."""
    table = build_table([Network(n << 8, 24, 5) for n in range(4)])
    starts = {table.find(n << 8 | 7)[0] for n in range(4)}
    assert starts == {n << 8 for n in range(4)}
