"""Guards single rules of loans and layouts, and the check of the bound."""

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


def _deliver_messages(world: World) -> None:
    while world.messages:
        world.messages.pop(0)()


def _lend_for_one_term(world: World, receipt_delay: int) -> None:
    borrower, lender = world.nodes[:2]
    for node in world.nodes:
        world.refresh(node)
    world.advance(10 * SECOND_NS)
    world.request_loan(borrower, lender, 0)
    world.messages.pop()()
    world.advance(receipt_delay)
    world.messages.pop()()


def _admit_everywhere(world: World) -> None:
    for node in world.nodes:
        world.admit(node, 1000)


def test_borrower_shrinks_a_loan_at_renewal() -> None:
    """A loan renewed at its former size would exceed a lowered total."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    world.refresh(world.nodes[0])
    world.request_loan(world.nodes[2], world.nodes[0], 0)
    _deliver_messages(world)
    world.revisions.append(Revision(5000, 12, SLOTS))
    for node in world.nodes:
        world.adopt(node, 2)
    for _ in range(4):
        world.advance(2 * SECOND_NS)
        world.request_loan(world.nodes[2], world.nodes[0], 0)
        _deliver_messages(world)
    assert world.nodes[2].limit.borrowed[0].capacity == 6_000_000
    world.check_worst_case()


def test_token_loan_does_not_outlive_what_backs_it() -> None:
    """Otherwise the floor that backs it is in use at its lender again."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    for node in world.nodes:
        world.refresh(node)
    world.request_loan(world.nodes[2], world.nodes[0], 0)
    _deliver_messages(world)
    world.advance(3500 * MILLISECOND_NS)
    world.request_loan(world.nodes[1], world.nodes[2], 25)
    _deliver_messages(world)
    world.advance(700 * MILLISECOND_NS)
    world.check_worst_case()


def test_used_token_gives_its_capacity_up() -> None:
    """Otherwise the settled capacity is in use at both daemons."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    for node in world.nodes:
        world.refresh(node)
    world.advance(SECOND_NS)
    world.request_loan(world.nodes[1], world.nodes[0], 8)
    _deliver_messages(world)
    world.admit(world.nodes[1], 7)
    world.settle(world.nodes[1])
    _deliver_messages(world)
    world.advance(100 * MILLISECOND_NS)
    world.check_worst_case()
    world.admitted.clear()
    world.check_worst_case()


def test_larger_share_waits_for_loans_of_the_former_layout() -> None:
    """Guards against 43 admissions at once with a burst of 40.

    All daemons had confirmed the revision, but a loan of a former, larger share
    was still outstanding. Found by test_invariant.py.
    """
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    owner = world.nodes[2]
    world.refresh(world.nodes[0])
    world.advance(SECOND_NS)
    world.request_loan(owner, world.nodes[0], 0)
    world.messages.pop()()
    world.messages.pop()()
    world.revisions.append(Revision(5000, 40, FEWER_SLOTS))
    for node in world.nodes:
        world.adopt(node, 2)
    for node in world.nodes:
        world.publish(node)
        for other in world.nodes:
            world.receive_heartbeat(node, other)
    for node in world.nodes:
        world.list_differing_claims(node)
    world.advance(SECOND_NS)
    world.check_worst_case()


def test_new_daemon_knows_a_former_layout_from_claims() -> None:
    """A holder that is cut off may still use its share of that layout."""
    world = World([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    world.revisions.append(Revision(5000, 40, TWO_SLOTS))
    for node in world.nodes[:2]:
        world.restart(node)
        world.publish(node)
        world.list_differing_claims(node)
    for _ in range(3):
        for number in (0, 1):
            world.receive_heartbeat(
                world.nodes[number], world.nodes[1 - number]
            )
        world.receive_heartbeat(world.nodes[2], world.nodes[2])
        world.advance(5 * SECOND_NS)
    world.check_worst_case()


@pytest.mark.parametrize('broken', [False, True])
def test_term_from_receipt_is_caught(broken: bool) -> None:
    """The check of the bound must detect a loan that ends too late.

    The faulty borrower counts the term from the receipt of the loan.
    """
    world = World([0] * 3, Revision(60, 12, SLOTS), HOLDERS)
    world.borrower_counts_from_receipt = broken
    _lend_for_one_term(world, 3 * SECOND_NS)
    world.advance(2 * SECOND_NS)
    _admit_everywhere(world)
    if broken:
        with pytest.raises(AssertionError):
            world.check_bound()
    else:
        world.check_bound()


@pytest.mark.parametrize('broken', [False, True])
def test_lender_without_margin_is_caught(
    broken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clocks at the limits of the tolerance differ by 4 ms per term.

    The check of the bound must detect a lender that allows no margin for this.
    """
    if broken:
        monkeypatch.setattr(commands, 'lender_term', lambda term: term)
    world = World([-500, 500, 0], Revision(10_000, 12, SLOTS), HOLDERS)
    _lend_for_one_term(world, MILLISECOND_NS)
    world.advance(FLOOR_TERM_NS - 2 * MILLISECOND_NS)
    world.advance(2 * MILLISECOND_NS)
    _admit_everywhere(world)
    if broken:
        with pytest.raises(AssertionError):
            world.check_bound()
    else:
        world.check_bound()
