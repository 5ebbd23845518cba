"""Guards single rules of loans and layouts, and the checker itself."""

import pytest
from tests.core.allowance.layouts import (
    FEWER_SLOTS,
    HOLDERS,
    SLOTS,
    TWO_SLOTS,
)
from tests.core.allowance.node import Revision
from tests.core.allowance.world import World

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.state import FLOOR_TERM_NS
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS


def _pass_mail(world: World) -> None:
    while world.mail:
        world.mail.pop(0)()


def _lend_for_one_term(world: World, receipt_delay: int) -> None:
    borrower, lender = world.nodes[:2]
    for node in world.nodes:
        world.refresh(node)
    world.advance(10 * SECOND_NS)
    world.ask(borrower, lender, 0)
    world.mail.pop()()
    world.advance(receipt_delay)
    world.mail.pop()()


def _admit_everywhere(world: World) -> None:
    for node in world.nodes:
        world.admit(node, 1000)


def test_borrower_shrinks_a_loan_at_renewal() -> None:
    """A loan renewed at its former size would outlive a lowered total."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    world.refresh(world.nodes[0])
    world.ask(world.nodes[2], world.nodes[0], 0)
    _pass_mail(world)
    world.revisions.append(Revision(5000, 12, SLOTS))
    for node in world.nodes:
        world.adopt(node, 2)
    for _ in range(4):
        world.advance(2 * SECOND_NS)
        world.ask(world.nodes[2], world.nodes[0], 0)
        _pass_mail(world)
    assert world.nodes[2].limit.borrowed[0].capacity == 6_000_000
    world.probe()


def test_token_loan_does_not_outlive_what_backs_it() -> None:
    """The floor behind it would be in use at its lender again."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    for node in world.nodes:
        world.refresh(node)
    world.ask(world.nodes[2], world.nodes[0], 0)
    _pass_mail(world)
    world.advance(3500 * MILLISECOND_NS)
    world.ask(world.nodes[1], world.nodes[2], 25)
    _pass_mail(world)
    world.advance(700 * MILLISECOND_NS)
    world.probe()


def test_used_token_gives_its_capacity_up() -> None:
    """Settled capacity would be in use at both sides."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    for node in world.nodes:
        world.refresh(node)
    world.advance(SECOND_NS)
    world.ask(world.nodes[1], world.nodes[0], 8)
    _pass_mail(world)
    world.admit(world.nodes[1], 7)
    world.settle(world.nodes[1])
    _pass_mail(world)
    world.advance(100 * MILLISECOND_NS)
    world.probe()
    world.admitted.clear()
    world.probe()


def test_larger_share_waits_for_loans_of_the_former_layout() -> None:
    """Found by the test above: 43 admitted at once with a burst of 40.

    All had confirmed the revision, but a loan of a former, larger share was
    still out.
    """
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    owner = world.nodes[2]
    world.refresh(world.nodes[0])
    world.advance(SECOND_NS)
    world.ask(owner, world.nodes[0], 0)
    world.mail.pop()()
    world.mail.pop()()
    world.revisions.append(Revision(5000, 40, FEWER_SLOTS))
    for node in world.nodes:
        world.adopt(node, 2)
    for node in world.nodes:
        world.publish(node)
        for other in world.nodes:
            world.hear(node, other)
    for node in world.nodes:
        world.survey(node)
    world.advance(SECOND_NS)
    world.probe()


def test_new_daemon_knows_a_former_layout_from_claims() -> None:
    """A holder that is cut off would use a share of another layout."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    world.revisions.append(Revision(5000, 40, TWO_SLOTS))
    for node in world.nodes[:2]:
        world.restart(node)
        world.publish(node)
        world.survey(node)
    for _ in range(3):
        for number in (0, 1):
            world.hear(world.nodes[number], world.nodes[1 - number])
        world.hear(world.nodes[2], world.nodes[2])
        world.advance(5 * SECOND_NS)
    world.probe()


@pytest.mark.parametrize('broken', [False, True])
def test_term_from_receipt_is_caught(broken: bool) -> None:
    """The check would be worthless if it missed a late end of a loan."""
    world = World([0] * 3, Revision(60, 12, SLOTS), HOLDERS)
    world.borrower_counts_from_receipt = broken
    _lend_for_one_term(world, 3 * SECOND_NS)
    world.advance(2 * SECOND_NS)
    _admit_everywhere(world)
    if broken:
        with pytest.raises(AssertionError):
            world.check()
    else:
        world.check()


@pytest.mark.parametrize('broken', [False, True])
def test_lender_without_margin_is_caught(
    broken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clocks at the edge of the tolerance differ by 4 ms in a term."""
    if broken:
        monkeypatch.setattr(commands, 'lender_term', lambda term: term)
    world = World([-500, 500, 0], Revision(10_000, 12, SLOTS), HOLDERS)
    _lend_for_one_term(world, MILLISECOND_NS)
    world.advance(FLOOR_TERM_NS - 2 * MILLISECOND_NS)
    world.advance(2 * MILLISECOND_NS)
    _admit_everywhere(world)
    if broken:
        with pytest.raises(AssertionError):
            world.check()
    else:
        world.check()
