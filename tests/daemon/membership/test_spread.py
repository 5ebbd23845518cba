"""Tests what each daemon knows of a fleet that is not a full mesh."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from tests.daemon.loopback import run_scenario, wait_until
from tests.daemon.replication.fakes import Daemon

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.membership import roster_updates
from geraniumshelf_core.messages.configuration import (
    ConfigurationParts,
    ConfigurationRequest,
)
from geraniumshelf_core.roster import commands
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.peers import on_demand
from geraniumshelf_daemon.wiring.slot_members import SlotMembers
from geraniumshelf_standins.platform.commands import replace_faults
from geraniumshelf_standins.platform.server import PlatformServer
from geraniumshelf_standins.platform.state import Fault

_REQUEST = ConfigurationRequest(('d',))


async def _reply(_peer: str, _message: object) -> ConfigurationParts:
    return ConfigurationParts(b'here', ())


async def _fleet(stack: AsyncExitStack, zones: str) -> list[Daemon]:
    server = PlatformServer()
    server.start()
    stack.push_async_callback(server.stop)
    fleet = [
        Daemon(server, f'i{number:02}', zone, source=f'127.0.1.{number + 1}')
        for number, zone in enumerate(zones)
    ]
    for daemon in fleet:
        daemon.declare(server)
        daemon.members.status.slot = f'a/{daemon.hello.instance}'
    for daemon in fleet:
        await stack.enter_async_context(daemon)
    return fleet


def _live_names(daemon: Daemon) -> set[str]:
    live = daemon.members.live_members(current_time())
    return {member.hello.instance for member in live}


async def _wait_until_known(fleet: list[Daemon], names: set[str]) -> None:
    await wait_until(
        lambda: all(_live_names(daemon) == names for daemon in fleet)
    )


def _link_count(daemon: Daemon) -> int:
    return len(daemon.links._table.links())


def _unlinked_pair(fleet: list[Daemon]) -> tuple[Daemon, Daemon]:
    for one in fleet:
        for other in fleet:
            targets = one.members.state.link_targets_since
            if other is not one and other.hello.instance not in targets:
                return one, other
    raise AssertionError('every pair of daemons is linked')


def test_all_members_are_known_in_a_tree() -> None:
    """Look-up responses and account owners must not depend on the links."""

    async def scenario(stack: AsyncExitStack) -> None:
        fleet = await _fleet(stack, 'a' * 15 + 'b' * 15)
        names = {daemon.hello.instance for daemon in fleet}
        await _wait_until_known(fleet, names)
        views = [SlotMembers(daemon.members) for daemon in fleet]
        await wait_until(
            lambda: all(len(v.slot_holders()) == 30 for v in views)
        )
        assert any(len(d.links.connected_peers()) < 29 for d in fleet)

        # One daemon is killed and another one starts to leave.
        killed, leaver = fleet.pop(), fleet.pop()
        await killed.membership.stop()
        await killed.links.stop()
        leaver.members.status.is_leaving = True
        await _wait_until_known(fleet, names - {killed.hello.instance})
        await wait_until(
            lambda: all(
                member.is_leaving
                for daemon in fleet
                for member in daemon.members.live_members(current_time())
                if member.hello.instance == leaver.hello.instance
            )
        )

        # A new daemon starts at the address of the killed one.
        port = int(killed.address.rpartition(':')[2])
        successor = Daemon(killed.server, 'successor', 'b', port=port)
        await stack.enter_async_context(successor)
        fleet.append(successor)
        await _wait_until_known(
            fleet, names - {killed.hello.instance} | {'successor'}
        )

    run_scenario(scenario)


def test_daemon_withdrawn_by_mistake_comes_back() -> None:
    """A daemon that was cut off must not remove a live daemon for good."""

    async def scenario(stack: AsyncExitStack) -> None:
        fleet = await _fleet(stack, 'a' * 18)
        names = {daemon.hello.instance for daemon in fleet}
        await _wait_until_known(fleet, names)
        one, other = _unlinked_pair(fleet)
        roster = one.members.state.roster
        before = roster.records[other.hello.instance].entry
        commands.withdraw(
            roster, other.hello.instance, other.hello.incarnation, 0
        )
        await wait_until(
            lambda: (
                roster.records[other.hello.instance].entry.counter
                > before.counter
            )
        )
        await _wait_until_known(fleet, names)

    run_scenario(scenario)


def test_peer_that_is_not_linked_is_dialed_for_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Owners and deciders must be reachable without a permanent link."""

    async def scenario(stack: AsyncExitStack) -> None:
        fleet = await _fleet(stack, 'a' * 18)
        names = {daemon.hello.instance for daemon in fleet}
        await _wait_until_known(fleet, names)
        one, other = _unlinked_pair(fleet)
        for daemon in (one, other):
            daemon.links.register(ConfigurationRequest, _reply)
        name = other.hello.instance
        linked = one.links.connected_peers()
        reply = await one.links.request(name, _REQUEST, 5 * SECOND_NS)
        assert reply.head == b'here'
        reverse_reply = await other.links.request(
            one.hello.instance, _REQUEST, 5 * SECOND_NS
        )
        assert isinstance(reverse_reply, ConfigurationParts)
        assert one.links.connected_peers() == linked
        assert one.hello.instance not in other.links.connected_peers()
        monkeypatch.setattr(on_demand, 'IDLE_TIMEOUT_NS', 0)
        await wait_until(lambda: _link_count(one) == len(linked))
        await _wait_until_known(fleet, names)
        with pytest.raises(PeerError) as caught:
            await one.links.request('nobody', _REQUEST, SECOND_NS)
        assert caught.value.code is ResultCode.PEER_UNREACHABLE

    run_scenario(scenario)


def test_links_on_demand_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests to many owners must not add up to links to all of them."""
    monkeypatch.setattr(on_demand, 'MAX_LINKS', 2)

    async def scenario(stack: AsyncExitStack) -> None:
        fleet = await _fleet(stack, 'a' * 20)
        await _wait_until_known(
            fleet, {daemon.hello.instance for daemon in fleet}
        )
        one, _ = _unlinked_pair(fleet)
        targets = {one.hello.instance, *one.members.state.link_targets_since}
        unlinked_daemons = [d for d in fleet if d.hello.instance not in targets]
        assert len(unlinked_daemons) > 2
        for daemon in unlinked_daemons:
            daemon.links.register(ConfigurationRequest, _reply)
            name = daemon.hello.instance
            await one.links.request(name, _REQUEST, 5 * SECOND_NS)
        await wait_until(lambda: _link_count(one) <= len(targets) + 1)

    run_scenario(scenario)


@pytest.mark.parametrize('zones', ['aaaa', 'a' * 18])
def test_others_take_over_watching(
    zones: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A zone must not count as cut off when only its watchers failed."""
    monkeypatch.setattr(roster_updates, 'MIN_PROBE_WAIT_NS', SECOND_NS)

    async def scenario(stack: AsyncExitStack) -> None:
        fleet = await _fleet(stack, zones)
        await _wait_until_known(
            fleet, {daemon.hello.instance for daemon in fleet}
        )
        await wait_until(lambda: sum(d.is_watcher for d in fleet) == 2)
        first = [daemon for daemon in fleet if daemon.is_watcher]
        callers = tuple(daemon.source for daemon in first)
        server = fleet[0].server
        replace_faults(server.state, (Fault(callers, down='refuse'),))
        await wait_until(
            lambda: (
                sum(d.is_watcher for d in fleet) == 2
                and not any(daemon.is_watcher for daemon in first)
            )
        )
        takeover_at = current_time()
        while current_time() < takeover_at + 4 * SECOND_NS:
            assert not any(d.members.is_cut_off(current_time()) for d in fleet)
            await asyncio.sleep(0.05)
        replace_faults(server.state, ())
        await wait_until(lambda: all(daemon.is_watcher for daemon in first))

    run_scenario(scenario)
