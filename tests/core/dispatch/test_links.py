"""Guards the shares of client accounts on a link."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.dispatch.links.commands import try_send
from geraniumshelf_core.dispatch.links.state import FlowKey, LinkMeter
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_RATE = 1_000_000
_CHUNK = 10_000


def _simulate(names: list[FlowKey], seconds: int) -> dict[FlowKey, int]:
    meter, sent = LinkMeter(_RATE), dict.fromkeys(names, 0)
    next_ask = dict.fromkeys(names, 0)
    now = 0
    while now < seconds * SECOND_NS:
        for name in names:
            if next_ask[name] <= now:
                delay = try_send(meter, name, _CHUNK, now)
                next_ask[name] = now + delay
                sent[name] += 0 if delay else _CHUNK
        now = max(min(next_ask.values()), now + MILLISECOND_NS // 10)
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
        unique_by=lambda name: name.account,
    )
)
def test_link_is_full_but_never_overrun(names: list[FlowKey]) -> None:
    """An overrun link loses packets of everybody."""
    total = sum(_simulate(names, 5).values())
    assert 0.9 * 5 * _RATE <= total <= 5 * _RATE + 3 * _CHUNK


def test_shares_follow_the_weights_and_patient_traffic_yields() -> None:
    """Photographs of one account must not starve another's sales."""
    one, two = FlowKey('scans', 'a', 1), FlowKey('scans', 'b', 2)
    patient = FlowKey('cal', 'c', 1, may_wait=True)
    sent = _simulate([patient, one, two], 20)
    assert 0.85 <= 2 * sent[one] / sent[two] <= 1.15
    assert 0 < sent[patient] <= 0.15 * sent[one]
