"""Tests the limit of an account over a fleet of daemons in virtual time."""

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from tests.daemon.edge.account_harness import (
    AccountFleet,
    limit_in_window,
    max_in_window,
)

from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_LARGE = SiteAccount('shop', ('k',), 120, 40)
_BURSTY = SiteAccount('shop', ('k',), 120, 150)
_NAMES = ('e0', 'e1', 'e2', 'e3', 'e4', 'e5', 's0', 's1', 's2', 's3')
_FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ('suspend', 'cut', 'delay', 'restart', 'power loss', 'forget')
        ),
        st.sampled_from(_NAMES),
        st.integers(50, 2500),
        st.integers(0, 1200),
    ),
    max_size=8,
)


def _strike(fleet: AccountFleet, kind: str, name: str, time_ms: int) -> None:
    """Let a fault happen to a daemon."""
    time = time_ms * MILLISECOND_NS
    match kind:
        case 'suspend':
            fleet.suspend(name, time)
        case 'cut':
            fleet.cut_off(name, time)
        case 'delay':
            fleet.delays[name] = time // 4
        case 'forget':
            # The others take it for lost, so owners are seen differently.
            fleet.forget(name, seen_by=_NAMES[time_ms % len(_NAMES)])
        case 'power loss':
            for each in tuple(fleet.nodes):
                fleet.start_node(each)
        case _:
            fleet.start_node(name)


# A failing example is not shrunk, as each of many attempts takes half a second.
@settings(
    max_examples=20,
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
)
@given(
    account=st.sampled_from((_LARGE, _BURSTY)),
    faults=_FAULTS,
    lost=st.sampled_from((0, 0.05, 0.3)),
    repeats=st.sampled_from((0, 0.5, 1)),
    seed=st.integers(0, 1000),
)
def test_account_stays_within_its_limit_under_faults(
    account: SiteAccount,
    faults: list[tuple[str, str, int, int]],
    lost: float,
    repeats: float,
    seed: int,
) -> None:
    """All daemons together must not admit more than the limit of an account.

    The callers ask for several times the limit, while daemons are suspended,
    cut off, late, restarted at once or not heard, and datagrams are lost,
    repeated and overtaken.
    """
    fleet = AccountFleet(account, 6, 4, seed, tries=0)
    fleet.lost, fleet.repeats = lost, repeats
    # The buckets fill before the load begins.
    fleet.run(4 * SECOND_NS)
    fleet.tries = 3
    for kind, name, time_ms, pause_ms in faults:
        _strike(fleet, kind, name, time_ms)
        fleet.run(pause_ms * MILLISECOND_NS)
    fleet.run(4 * SECOND_NS)
    fleet.close()
    assert max_in_window(fleet.granted) <= limit_in_window(account)


def test_repeated_grants_do_not_add_tokens() -> None:
    """A grant that arrives twice would put the same tokens into use twice.

    A request that arrives twice must not take tokens that nobody accepts.
    """
    fleet = AccountFleet(_LARGE, 6, 4)
    fleet.repeats = 1
    fleet.run(9 * SECOND_NS)
    fleet.close()
    used_rate = _LARGE.rate * 1.1
    assert 0.9 * used_rate <= fleet.granted_in(4, 9) / 5 <= used_rate


def test_power_loss_does_not_give_the_burst_again() -> None:
    """Guard against buckets that are full after a start.

    The runs before the power loss have spent the burst within the same window.
    The fleet has had no requests before, and loses power twice.
    """
    fleet = AccountFleet(_BURSTY, 6, 0, tries=0)
    fleet.run(4 * SECOND_NS)
    fleet.tries = 5
    for _ in range(3):
        fleet.run(SECOND_NS)
        _strike(fleet, 'power loss', '', 0)
    fleet.run(2 * SECOND_NS)
    fleet.close()
    assert max_in_window(fleet.granted) <= limit_in_window(_BURSTY)


def test_account_beyond_its_limit_gets_all_of_it() -> None:
    """Guard against tokens that no daemon hands out under overload.

    The callers of a large account ask two entries of each region for several
    times its limit, while most shares belong to standbys.
    """
    fleet = AccountFleet(_LARGE, 6, 30)
    fleet.run(9 * SECOND_NS)
    fleet.close()
    assert fleet.granted_in(4, 9) >= 5 * _LARGE.rate


def test_tokens_of_standbys_are_used_after_a_power_loss() -> None:
    """Guard against refusals in the first seconds after a common start.

    Standbys rest their shares for 1.1 s; the tokens that gathered after that,
    before an entry asked for the shares, were lost.
    """
    fleet = AccountFleet(_BURSTY, 6, 30)
    fleet.suspend_entries(2 * SECOND_NS)
    fleet.run(3 * SECOND_NS)
    fleet.close()
    # A sixth of the shares for 3 s, and the others for 1.9 s. Without the
    # tokens of the standbys it is just over a half.
    unspent = _BURSTY.rate * (3 / 6 + 1.9 * 5 / 6)
    assert fleet.granted_in(0, 3) >= 0.7 * unspent
