"""Guards the configuration in force against going back or being damaged."""

from hypothesis import given
from hypothesis import strategies as st
from tests.daemon.replication.fakes import TextFormat, text_head

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_daemon.replication.holder import (
    ConfigurationHolder,
    Outcome,
)

_OFFERS = st.lists(
    st.tuples(
        st.integers(0, 6),
        st.lists(st.sampled_from((b'p', b'q', b'bad')), max_size=3),
        st.sets(st.sampled_from((b'p', b'q', b'bad', b'x')), max_size=3),
    )
)


@given(_OFFERS)
def test_revision_never_goes_back(
    offers: list[tuple[int, list[bytes], set[bytes]]],
) -> None:
    """A stale head would bring a revoked key back."""
    holder = ConfigurationHolder(TextFormat())
    told: list[Configuration] = []
    holder.subscribe(told.append)
    for revision, parts, contents in offers:
        before = (holder.revision, holder.configuration, holder.head)
        head = text_head(revision, parts)
        outcome = holder.offer(head, contents).outcome
        if outcome is Outcome.IN_FORCE:
            assert holder.revision == revision > before[0]
            assert set(holder.parts.values()) == set(parts)
            assert b'bad' not in parts
        else:
            assert (holder.revision, holder.configuration, holder.head) == (
                before
            )
    assert holder.configuration == (told[-1] if told else None)


@given(st.permutations(range(1, 7)), st.data())
def test_highest_revision_wins_in_any_order(
    order: list[int], data: st.DataObject
) -> None:
    """Daemons that see heads in different orders must end up the same."""
    holder = ConfigurationHolder(TextFormat())
    for revision in order:
        contents = [f'part {revision}'.encode(), b'shared']
        head = text_head(revision, contents)
        first = data.draw(st.sets(st.sampled_from(contents)))
        if holder.offer(head, first).outcome is Outcome.INCOMPLETE:
            rest = [one for one in contents if one not in first]
            assert holder.offer(head, rest).outcome is Outcome.IN_FORCE
    assert holder.revision == 6


def test_contradicting_head_and_failing_listener() -> None:
    """A second head of one revision must not replace the first."""
    holder = ConfigurationHolder(TextFormat())
    told: list[Configuration] = []
    holder.subscribe(lambda _: 1 // 0)  # type: ignore[arg-type, return-value]
    holder.subscribe(told.append)
    assert holder.offer(text_head(1, [b'p']), [b'p']).outcome is (
        Outcome.IN_FORCE
    )
    assert len(told) == 1
    assert holder.offer(text_head(1, [b'q']), [b'q']).outcome is (
        Outcome.REFUSED
    )
    assert holder.offer(b'garbage', ()).outcome is Outcome.REFUSED
    assert holder.configuration == Configuration('p')
