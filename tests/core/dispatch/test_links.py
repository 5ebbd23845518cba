"""Tests of the shares of client accounts on a link."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.dispatch.links.commands import try_send
from geraniumshelf_core.dispatch.links.state import FlowKey, LinkMeter
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_RATE = 1_000_000
_CHUNK_BYTES = 10_000


def _simulate(keys: list[FlowKey], seconds: int) -> dict[FlowKey, int]:
    meter, sent = LinkMeter(_RATE), dict.fromkeys(keys, 0)
    next_attempt_at = dict.fromkeys(keys, 0)
    now = 0
    while now < seconds * SECOND_NS:
        for key in keys:
            if next_attempt_at[key] <= now:
                delay = try_send(meter, key, _CHUNK_BYTES, now)
                next_attempt_at[key] = now + delay
                sent[key] += 0 if delay else _CHUNK_BYTES
        now = max(min(next_attempt_at.values()), now + MILLISECOND_NS // 10)
    return sent


@given(
    st.lists(
        st.builds(
            FlowKey,
            st.just('scans'),
            st.sampled_from('abcdef'),
            st.integers(1, 4),
            st.booleans(),
        ),
        min_size=1,
        max_size=6,
        unique_by=lambda key: key.account,
    )
)
def test_link_is_full_but_never_overrun(keys: list[FlowKey]) -> None:
    """A link above its rate drops packets of all flows."""
    total = sum(_simulate(keys, 5).values())
    assert 0.9 * 5 * _RATE <= total <= 5 * _RATE + 3 * _CHUNK_BYTES


def test_shares_follow_the_weights_and_deferrable_traffic_yields() -> None:
    """Without weights, the uploads of one account would starve another."""
    first, second = FlowKey('scans', 'a', 1), FlowKey('scans', 'b', 2)
    deferrable = FlowKey('cal', 'c', 1, may_wait=True)
    sent = _simulate([deferrable, first, second], 20)
    assert 0.85 <= 2 * sent[first] / sent[second] <= 1.15
    assert 0 < sent[deferrable] <= 0.15 * sent[first]
