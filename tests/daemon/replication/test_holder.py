"""Tests that the configuration in force neither goes back nor is damaged."""

from hypothesis import given
from hypothesis import strategies as st
from tests.daemon.replication.fakes import TextFormat, text_head

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_daemon.replication.holder import (
    ConfigurationHolder,
    OfferOutcome,
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
    """A stale head must not bring a revoked key back into force."""
    holder = ConfigurationHolder(TextFormat())
    configurations: list[Configuration] = []
    holder.subscribe(configurations.append)
    for revision, parts, contents in offers:
        before = (holder.revision, holder.configuration, holder.head)
        head = text_head(revision, parts)
        outcome = holder.offer(head, contents).outcome
        if outcome is OfferOutcome.IN_FORCE:
            assert holder.revision == revision > before[0]
            assert set(holder.parts.values()) == set(parts)
            assert b'bad' not in parts
        else:
            assert (holder.revision, holder.configuration, holder.head) == (
                before
            )
    assert holder.configuration == (
        configurations[-1] if configurations else None
    )


@given(st.permutations(range(1, 7)), st.data())
def test_highest_revision_wins_in_any_order(
    order: list[int], data: st.DataObject
) -> None:
    """Daemons that receive heads in different orders must converge."""
    holder = ConfigurationHolder(TextFormat())
    for revision in order:
        contents = [f'part {revision}'.encode(), b'shared']
        head = text_head(revision, contents)
        first = data.draw(st.sets(st.sampled_from(contents)))
        if holder.offer(head, first).outcome is OfferOutcome.INCOMPLETE:
            rest = [content for content in contents if content not in first]
            assert holder.offer(head, rest).outcome is OfferOutcome.IN_FORCE
    assert holder.revision == 6


def test_contradicting_head_and_failing_listener() -> None:
    """A second head of the same revision must not replace the first.

    A listener that raises must not keep later listeners from being called.
    """
    holder = ConfigurationHolder(TextFormat())
    configurations: list[Configuration] = []
    holder.subscribe(lambda _: 1 // 0)  # type: ignore[arg-type, return-value]
    holder.subscribe(configurations.append)
    assert holder.offer(text_head(1, [b'p']), [b'p']).outcome is (
        OfferOutcome.IN_FORCE
    )
    assert len(configurations) == 1
    assert holder.offer(text_head(1, [b'q']), [b'q']).outcome is (
        OfferOutcome.REFUSED
    )
    assert holder.offer(b'garbage', ()).outcome is OfferOutcome.REFUSED
    assert holder.configuration == Configuration('p')
