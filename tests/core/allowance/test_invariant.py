"""Guards the bound on admissions under any combination of faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from tests.core.allowance.fleet_simulation import FleetSimulation
from tests.core.allowance.layouts import (
    FEWER_SLOTS,
    HOLDERS,
    MORE_SLOTS,
    SLOTS,
    TWO_SLOTS,
)
from tests.core.allowance.node import Revision

from geraniumshelf_core.units import MILLISECOND_NS

NODES = 3
nodes = st.integers(0, NODES - 1)
DELAYS = st.sampled_from((0, 0, 5, 500, 2500))


class Fleet(RuleBasedStateMachine):
    """Drives the real ledgers through faults and configuration changes."""

    @initialize(
        drifts=st.lists(st.integers(-500, 500), min_size=NODES, max_size=NODES),
        rate=st.sampled_from((60, 5000, 5000)),
        burst=st.sampled_from((5, 12, 40)),
    )
    def start(self, drifts: list[int], rate: int, burst: int) -> None:
        self.simulation = FleetSimulation(
            drifts, Revision(rate, burst, SLOTS), HOLDERS
        )

    @rule(milliseconds=st.sampled_from((1, 40, 200, 700, 1500, 4100)))
    def advance(self, milliseconds: int) -> None:
        self.simulation.advance(milliseconds * MILLISECOND_NS)

    @rule(node=nodes, attempts=st.integers(1, 60))
    def admit(self, node: int, attempts: int) -> None:
        self.simulation.admit(self.simulation.nodes[node], attempts)

    @rule(
        node=nodes,
        hops=st.integers(1, NODES - 1),
        tokens=st.sampled_from((0, 0, 1, 3)),
        delays=st.tuples(DELAYS, DELAYS),
        repeats=st.booleans(),
    )
    def exchange(
        self,
        node: int,
        hops: int,
        tokens: int,
        delays: tuple[int, int],
        repeats: bool,
    ) -> None:
        """Deliver a request and its reply with delays, possibly twice."""
        borrower = self.simulation.nodes[node]
        lender = self.simulation.nodes[(node + hops) % NODES]
        self.simulation.request_loan(borrower, lender, tokens)
        for delay in delays:
            self.advance(delay)
            message = self.simulation.messages.pop()
            message()
            if repeats:
                message()

    @rule(node=nodes, hops=st.integers(1, NODES - 1), tokens=st.integers(0, 2))
    def ask(self, node: int, hops: int, tokens: int) -> None:
        borrower = self.simulation.nodes[node]
        lender = self.simulation.nodes[(node + hops) % NODES]
        self.simulation.request_loan(borrower, lender, tokens)

    @precondition(lambda self: self.simulation.messages)
    @rule(
        number=st.integers(0, 20),
        outcome=st.sampled_from(('deliver', 'deliver', 'repeat', 'lose')),
    )
    def handle_message(self, number: int, outcome: str) -> None:
        messages = self.simulation.messages
        message = messages[number % len(messages)]
        if outcome != 'repeat':
            messages.remove(message)
        if outcome != 'lose':
            message()

    @rule(node=nodes, settles=st.booleans())
    def return_or_settle(self, node: int, settles: bool) -> None:
        if settles:
            self.simulation.settle(self.simulation.nodes[node])
        else:
            self.simulation.return_loans(self.simulation.nodes[node])

    @rule(node=nodes, chance=st.integers(0, 3), frees_slots=st.booleans())
    def restart(self, node: int, chance: int, frees_slots: bool) -> None:
        if chance == 1:
            self.simulation.restart(
                self.simulation.nodes[node], frees_slots=frees_slots
            )

    @rule(
        totals=st.sampled_from((None, None, (60, 12), (5000, 12), (5000, 40))),
        layout=st.sampled_from((SLOTS, MORE_SLOTS, FEWER_SLOTS, TWO_SLOTS)),
        node=nodes,
        chance=st.integers(0, 3),
    )
    def edit(
        self,
        totals: tuple[int, int] | None,
        layout: tuple[str, ...],
        node: int,
        chance: int,
    ) -> None:
        if chance == 1:
            last = self.simulation.revisions[-1]
            rate, burst = totals or (last.rate, last.burst)
            self.simulation.revisions.append(Revision(rate, burst, layout))
            self.simulation.adopt(
                self.simulation.nodes[node], len(self.simulation.revisions) - 1
            )

    @rule(node=nodes, hops=st.integers(0, NODES - 1))
    def receive_heartbeat(self, node: int, hops: int) -> None:
        """Receive a heartbeat; the own one brings the newest revision."""
        other = (node + hops) % NODES
        if hops == 0:
            self.simulation.adopt(
                self.simulation.nodes[node], len(self.simulation.revisions) - 1
            )
        self.simulation.receive_heartbeat(
            self.simulation.nodes[node], self.simulation.nodes[other]
        )

    @rule(node=nodes, publishes=st.booleans(), lists=st.booleans())
    def claim(self, node: int, publishes: bool, lists: bool) -> None:
        if publishes:
            self.simulation.publish(self.simulation.nodes[node])
        if lists:
            self.simulation.list_differing_claims(self.simulation.nodes[node])

    @rule(node=nodes, hops=st.integers(1, NODES - 1), tokens=st.integers(1, 5))
    def use_tokens(self, node: int, hops: int, tokens: int) -> None:
        """Borrow tokens, use some of them and settle within the term."""
        self.exchange(node, hops, tokens, (0, 0), False)
        self.simulation.admit(self.simulation.nodes[node], 2)
        self.simulation.settle(self.simulation.nodes[node])
        while self.simulation.messages:
            self.simulation.messages.pop(0)()
        self.advance(200)

    @rule(node=nodes, hops=st.integers(1, NODES - 1))
    def borrow_and_return(self, node: int, hops: int) -> None:
        self.exchange(node, hops, 0, (0, 0), False)
        self.simulation.return_loans(self.simulation.nodes[node])
        while self.simulation.messages:
            self.simulation.messages.pop(0)()
        self.advance(200)

    @rule(owner=nodes, rounds=st.integers(1, 4))
    def pool(self, owner: int, rounds: int) -> None:
        """Lend all floors to an owner and renew the loans, without faults."""
        for _ in range(rounds):
            for hops in range(1, NODES):
                self.exchange(owner, hops, 0, (1, 1), False)
            self.advance(1990)

    @rule()
    def deliver_everything(self) -> None:
        """Deliver all heartbeats and claims, and let the buckets fill up."""
        for node in range(NODES):
            for hops in range(NODES):
                self.receive_heartbeat(node, hops)
            self.claim(node, True, True)
        self.advance(1000)

    @invariant()
    def bound_holds(self) -> None:
        if hasattr(self, 'simulation'):
            self.simulation.check_worst_case()


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=300, stateful_step_count=50, derandomize=True, deadline=None
)
