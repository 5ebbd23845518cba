"""Guards single rules of loans and layouts, and the check of the bound."""

import pytest
from tests.core.allowance.fleet_simulation import FleetSimulation
from tests.core.allowance.layouts import (
    FEWER_SLOTS,
    HOLDERS,
    SLOTS,
    TWO_SLOTS,
)
from tests.core.allowance.node import Revision

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.state import FLOOR_TERM_NS
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS


def _deliver_messages(simulation: FleetSimulation) -> None:
    while simulation.messages:
        simulation.messages.pop(0)()


def _lend_for_one_term(simulation: FleetSimulation, receipt_delay: int) -> None:
    borrower, lender = simulation.nodes[:2]
    for node in simulation.nodes:
        simulation.refresh(node)
    simulation.advance(10 * SECOND_NS)
    simulation.request_loan(borrower, lender, 0)
    simulation.messages.pop()()
    simulation.advance(receipt_delay)
    simulation.messages.pop()()


def _admit_everywhere(simulation: FleetSimulation) -> None:
    for node in simulation.nodes:
        simulation.admit(node, 1000)


def test_borrower_shrinks_a_loan_at_renewal() -> None:
    """A loan renewed at its former size would exceed a lowered total."""
    simulation = FleetSimulation([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    simulation.refresh(simulation.nodes[0])
    simulation.request_loan(simulation.nodes[2], simulation.nodes[0], 0)
    _deliver_messages(simulation)
    simulation.revisions.append(Revision(5000, 12, SLOTS))
    for node in simulation.nodes:
        simulation.adopt(node, 2)
    for _ in range(4):
        simulation.advance(2 * SECOND_NS)
        simulation.request_loan(simulation.nodes[2], simulation.nodes[0], 0)
        _deliver_messages(simulation)
    assert simulation.nodes[2].limit.borrowed[0].capacity == 6_000_000
    simulation.check_worst_case()


def test_token_loan_does_not_outlive_what_backs_it() -> None:
    """The floor that backs a loan is used by its lender again afterwards."""
    simulation = FleetSimulation([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    for node in simulation.nodes:
        simulation.refresh(node)
    simulation.request_loan(simulation.nodes[2], simulation.nodes[0], 0)
    _deliver_messages(simulation)
    simulation.advance(3500 * MILLISECOND_NS)
    simulation.request_loan(simulation.nodes[1], simulation.nodes[2], 25)
    _deliver_messages(simulation)
    simulation.advance(700 * MILLISECOND_NS)
    simulation.check_worst_case()


def test_used_token_gives_its_capacity_up() -> None:
    """Settled capacity must not be in use at both daemons."""
    simulation = FleetSimulation([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    for node in simulation.nodes:
        simulation.refresh(node)
    simulation.advance(SECOND_NS)
    simulation.request_loan(simulation.nodes[1], simulation.nodes[0], 8)
    _deliver_messages(simulation)
    simulation.admit(simulation.nodes[1], 7)
    simulation.settle(simulation.nodes[1])
    _deliver_messages(simulation)
    simulation.advance(100 * MILLISECOND_NS)
    simulation.check_worst_case()
    simulation.admitted.clear()
    simulation.check_worst_case()


def test_larger_share_waits_for_loans_of_the_former_layout() -> None:
    """Guards against 43 admissions at once with a burst of 40.

    All daemons had confirmed the revision, but a loan of a former, larger share
    was still outstanding. Found by test_invariant.py.
    """
    simulation = FleetSimulation([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    owner = simulation.nodes[2]
    simulation.refresh(simulation.nodes[0])
    simulation.advance(SECOND_NS)
    simulation.request_loan(owner, simulation.nodes[0], 0)
    simulation.messages.pop()()
    simulation.messages.pop()()
    simulation.revisions.append(Revision(5000, 40, FEWER_SLOTS))
    for node in simulation.nodes:
        simulation.adopt(node, 2)
    for node in simulation.nodes:
        simulation.publish(node)
        for other in simulation.nodes:
            simulation.receive_heartbeat(node, other)
    for node in simulation.nodes:
        simulation.list_differing_claims(node)
    simulation.advance(SECOND_NS)
    simulation.check_worst_case()


def test_new_daemon_knows_a_former_layout_from_claims() -> None:
    """A holder that is cut off may still use its share of that layout."""
    simulation = FleetSimulation([0] * 3, Revision(5000, 40, SLOTS), HOLDERS)
    simulation.revisions.append(Revision(5000, 40, TWO_SLOTS))
    for node in simulation.nodes[:2]:
        simulation.restart(node)
        simulation.publish(node)
        simulation.list_differing_claims(node)
    for _ in range(3):
        for number in (0, 1):
            simulation.receive_heartbeat(
                simulation.nodes[number], simulation.nodes[1 - number]
            )
        simulation.receive_heartbeat(simulation.nodes[2], simulation.nodes[2])
        simulation.advance(5 * SECOND_NS)
    simulation.check_worst_case()


@pytest.mark.parametrize('broken', [False, True])
def test_term_from_receipt_is_caught(broken: bool) -> None:
    """The check of the bound must detect a loan that ends too late.

    The faulty borrower counts the term from the receipt of the loan.
    """
    simulation = FleetSimulation([0] * 3, Revision(60, 12, SLOTS), HOLDERS)
    simulation.borrower_counts_from_receipt = broken
    _lend_for_one_term(simulation, 3 * SECOND_NS)
    simulation.advance(2 * SECOND_NS)
    _admit_everywhere(simulation)
    if broken:
        with pytest.raises(AssertionError):
            simulation.check_bound()
    else:
        simulation.check_bound()


@pytest.mark.parametrize('broken', [False, True])
def test_lender_without_margin_is_caught(
    broken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clocks at the limits of the tolerance differ by 4 ms per term.

    The check of the bound must detect a lender that allows no margin for this.
    """
    if broken:
        monkeypatch.setattr(commands, 'lender_term', lambda term: term)
    simulation = FleetSimulation(
        [-500, 500, 0], Revision(10_000, 12, SLOTS), HOLDERS
    )
    _lend_for_one_term(simulation, MILLISECOND_NS)
    simulation.advance(FLOOR_TERM_NS - 2 * MILLISECOND_NS)
    simulation.advance(2 * MILLISECOND_NS)
    _admit_everywhere(simulation)
    if broken:
        with pytest.raises(AssertionError):
            simulation.check_bound()
    else:
        simulation.check_bound()
