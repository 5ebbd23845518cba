"""Simulated daemons on drifting clocks that use the real ledgers."""

import copy
from collections.abc import Callable
from typing import Any

from attrs import evolve
from tests.core.allowance.node import ACCOUNT, Node, Revision

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.floors import (
    Floor,
    slot_floor,
)
from geraniumshelf_core.allowance.layouts import (
    DifferingClaims,
    LayoutHistory,
    layout_digest,
)
from geraniumshelf_core.allowance.state import (
    FLOOR_TERM_NS,
    QUARANTINE_NS,
    TOKEN_TERM_NS,
    AllowanceLedger,
    Loan,
)
from geraniumshelf_core.units import MICROS_PER_UNIT, SECOND_NS

# Loans of a former, larger total run out within this time.
MAX_OUTSTANDING_NS = 5 * SECOND_NS


class FleetSimulation:
    """Daemons, messages in flight and the recorded admissions."""

    def __init__(
        self, drifts: list[int], first: Revision, holders: list[str]
    ) -> None:
        self.now = 10**12
        self.counter = 0
        self.borrower_counts_from_receipt = False
        self.revisions = [Revision(0, 0, ()), first]
        self.messages: list[Callable[[], None]] = []
        self.claims: dict[str, tuple[str, int]] = {}
        self.admitted: list[tuple[int, int]] = []
        self.periods: list[list[int]] = []
        self.nodes: list[Node] = []
        for number, drift in enumerate(drifts):
            slots = tuple(
                slot
                for slot, holder in zip(first.layout, holders, strict=True)
                if holder == f'n{number}'
            )
            node = Node(f'n{number}', slots, drift, AllowanceLedger(0))
            self.nodes.append(node)
            self.restart(node)
        for node in self.nodes:
            self.publish(node)
            self.list_differing_claims(node)
        self.advance(QUARANTINE_NS * 2)

    def clock(self, node: Node) -> int:
        return self.now + self.now * node.drift_ppm // 10**6

    def advance(self, nanoseconds: int) -> None:
        self.now += nanoseconds

    def restart(self, node: Node, *, frees_slots: bool = False) -> None:
        """Discard all state; the slots are claimed again with quarantine."""
        self.counter += 1000
        self.end_period(node)
        node.ledger = AllowanceLedger(self.counter)
        node.ledger.limit(ACCOUNT, self.clock(node))
        node.claimed_revision = 0
        node.differing = None
        node.layouts = LayoutHistory()
        node.request_times.clear()
        node.unsettled.clear()
        node.confirmed_revisions = {}
        node.revision = 0
        for slot in node.slots if frees_slots else ():
            self.claims.pop(slot, None)
        self.adopt(node, len(self.revisions) - 1)

    def adopt(self, node: Node, revision: int) -> None:
        if revision <= node.revision:
            return
        self.end_period(node)
        self.periods.append([revision, self.now, -1, int(node.name[1:])])
        node.revision = revision
        since = node.layouts.since
        node.layouts.add(revision, self.revisions[revision].layout)
        if since != node.layouts.since:
            node.differing = None
        self.refresh(node)

    def publish(self, node: Node) -> None:
        """Write the layout into the claims, which may be new ones."""
        if node.claimed_revision == 0:
            node.usable_at = self.clock(node) + QUARANTINE_NS
        node.claimed_revision = node.revision
        digest = layout_digest(self.revisions[node.revision].layout)
        for slot in node.slots:
            self.claims[slot] = (digest, node.revision)

    def list_differing_claims(self, node: Node) -> None:
        """List the claims that show another layout."""
        if node.layouts.since <= node.claimed_revision:
            shown = layout_digest(self.revisions[node.revision].layout)
            revisions = {
                slot: revision
                for slot, (digest, revision) in self.claims.items()
                if digest != shown and slot not in node.slots
            }
            node.differing = DifferingClaims(revisions, self.clock(node))
            node.confirmed_revisions.clear()
            self.refresh(node)

    def end_period(self, node: Node) -> None:
        for period in self.periods:
            if period[2] < 0 and period[3] == int(node.name[1:]):
                period[2] = self.now

    def receive_heartbeat(self, node: Node, other: Node) -> None:
        """Receive a heartbeat that confirms a revision."""
        for slot in other.slots:
            node.confirmed_revisions[slot] = other.revision
        self.refresh(node)

    def refresh(self, node: Node) -> None:
        totals = self.revisions[node.revision]
        node.layouts.record_adoption(
            node.differing, node.confirmed_revisions, self.clock(node)
        )
        layouts = node.layouts.in_force(self.clock(node))
        floor = Floor()
        if node.claimed_revision and self.clock(node) >= node.usable_at:
            floors = [
                slot_floor(totals.rate, totals.burst, slot, layouts)
                for slot in node.slots
            ]
            floor = Floor(
                sum(slot_share.rate for slot_share in floors),
                sum(slot_share.capacity for slot_share in floors),
            )
        commands.set_floor(node.limit, floor, self.clock(node))

    def admit(self, node: Node, attempts: int) -> None:
        self.refresh(node)
        for _ in range(attempts):
            taken = commands.take(node.limit, self.clock(node))
            if taken is False:
                return
            self.admitted.append((self.now, 1))
            if isinstance(taken, Loan):
                node.unsettled.append((taken.peer, taken.loan_id))

    def request_loan(self, node: Node, lender: Node, tokens: int) -> None:
        """Request tokens, or for 0 tokens the floor and renewals."""
        self.counter += 1
        request, requested_at = self.counter, self.clock(node)
        node.request_times[request] = requested_at
        held = [
            loan.loan_id
            for loan in node.limit.borrowed
            if loan.peer == lender.name and not loan.is_token
        ]
        self.messages.append(
            lambda: self._answer(node, lender, request, held, tokens)
        )

    def _answer(
        self,
        node: Node,
        lender: Node,
        request: int,
        held: list[int],
        tokens: int,
    ) -> None:
        self.refresh(lender)
        now = self.clock(lender)
        if tokens:
            grant = commands.lend_tokens(
                lender.ledger, ACCOUNT, node.name, tokens, now
            )
            renewed: list[Any] = []
        else:
            renewed = [
                commands.renew(lender.limit, loan_id, node.name, now)
                for loan_id in held
            ]
            grant = commands.lend_floor(lender.ledger, ACCOUNT, node.name, now)
        self.messages.append(
            lambda: self._receive(node, lender, request, renewed, grant)
        )

    def _receive(
        self,
        node: Node,
        lender: Node,
        request: int,
        renewed: list[Any],
        grant: Any,
    ) -> None:
        requested_at = node.request_times.pop(request, None)
        if requested_at is None:
            return
        now = self.clock(node)
        if self.borrower_counts_from_receipt:
            requested_at = now
        for loan in filter(None, renewed):
            commands.accept_renewal(
                node.limit,
                evolve(
                    loan, peer=lender.name, ends_at=requested_at + FLOOR_TERM_NS
                ),
                now,
            )
        if grant is not None:
            term = TOKEN_TERM_NS if grant.loan.is_token else FLOOR_TERM_NS
            loan = evolve(
                grant.loan, peer=lender.name, ends_at=requested_at + term
            )
            commands.accept(node.limit, loan, grant.tokens, now)

    def return_loans(self, node: Node) -> None:
        for loan in list(node.limit.borrowed):
            tokens = commands.return_loan(node.limit, loan, self.clock(node))
            if tokens is not None:
                self._post_return(node, loan, tokens)

    def _post_return(self, node: Node, loan: Loan, tokens: int) -> None:
        lender = self.nodes[int(loan.peer[1:])]
        self.messages.append(
            lambda: commands.receive_return(
                lender.limit,
                node.name,
                loan.loan_id,
                tokens,
                self.clock(lender),
            )
        )

    def settle(self, node: Node) -> None:
        for peer, loan_id in node.unsettled:
            self._post_settlement(node, self.nodes[int(peer[1:])], loan_id)
        node.unsettled.clear()

    def _post_settlement(self, node: Node, lender: Node, loan_id: int) -> None:
        self.messages.append(
            lambda: commands.settle(
                lender.limit,
                node.name,
                loan_id,
                MICROS_PER_UNIT,
                self.clock(lender),
            )
        )

    def check_worst_case(self) -> None:
        """Check the bound for requests at all daemons now, then undo them."""
        layouts = [copy.deepcopy(node.layouts) for node in self.nodes]
        ledgers = [copy.deepcopy(node.ledger) for node in self.nodes]
        unsettled = [list(node.unsettled) for node in self.nodes]
        count = len(self.admitted)
        for node in self.nodes:
            self.admit(node, 1000)
        try:
            self.check_bound()
        finally:
            del self.admitted[count:]
            for number, node in enumerate(self.nodes):
                node.ledger = ledgers[number]
                node.layouts = layouts[number]
                node.unsettled = unsettled[number]

    def check_bound(self) -> None:
        """Check that no interval up to now admitted over rate * T + burst.

        Intervals that ended earlier were checked when they ended.
        """
        starts: dict[int, int] = {}
        for index, (start, _) in enumerate(self.admitted):
            starts.setdefault(start, index)
        for start, index in starts.items():
            count = len(self.admitted) - index
            rate, burst = self._limits(start - MAX_OUTSTANDING_NS, self.now)
            bound = rate * (self.now - start) + burst * SECOND_NS
            assert count * SECOND_NS <= bound, (start, self.now, count)

    def _limits(self, start: int, end: int) -> tuple[int, int]:
        live = [
            self.revisions[revision]
            for revision, since, until, _ in self.periods
            if since <= end and (until < 0 or until >= start)
        ]
        return max(totals.rate for totals in live), max(
            totals.burst for totals in live
        )
