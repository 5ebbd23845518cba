"""Tests that a revision reaches all daemons under failures."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from tests.daemon.loopback import run_scenario, wait_until
from tests.daemon.replication.fakes import (
    Daemon,
    digest_of,
    publish_revision,
    text_head,
)

from geraniumshelf_daemon.clock import current_time
from geraniumshelf_standins.platform.commands import (
    replace_faults,
    store_object,
)
from geraniumshelf_standins.platform.server import PlatformServer
from geraniumshelf_standins.platform.state import Fault

Scenario = Callable[[PlatformServer, AsyncExitStack], Awaitable[None]]

_LARGE_PARTS = [bytes([number]) * 900_000 for number in (65, 66, 67)]


def _run(scenario: Scenario) -> None:
    async def main(stack: AsyncExitStack) -> None:
        server = PlatformServer()
        server.start()
        stack.push_async_callback(server.stop)
        await scenario(server, stack)

    run_scenario(main)


async def _fleet(
    server: PlatformServer, stack: AsyncExitStack, zones: str
) -> list[Daemon]:
    fleet = [
        Daemon(server, f'i{number}', zone, source=f'127.0.1.{number}')
        for number, zone in enumerate(zones)
    ]
    for daemon in fleet:
        daemon.declare(server)
    for daemon in fleet:
        await stack.enter_async_context(daemon)
    await wait_until(
        lambda: all(
            len(d.links.connected_peers()) == len(fleet) - 1 for d in fleet
        )
    )
    return fleet


async def _wait_for_revision(fleet: list[Daemon], revision: int) -> None:
    await wait_until(lambda: all(d.holder.revision == revision for d in fleet))


def test_only_two_daemons_of_a_zone_watch() -> None:
    """Platform calls must not grow with the number of daemons in a zone."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        fleet = await _fleet(server, stack, 'aaaaaa')
        watchers = [daemon for daemon in fleet if daemon.is_watcher]
        assert len(watchers) == 2
        await wait_until(lambda: server.state.calls['watch'] > 9)
        callers = server.state.caller_calls.values()
        assert sum(calls['watch'] > 0 for calls in callers) == 2
        assert server.state.calls['instances'] <= len(fleet) + 2
        publish_revision(server, 1, [b'p', *_LARGE_PARTS])
        await _wait_for_revision(fleet, 1)
        assert server.state.calls['get'] <= 8
        confirmed = watchers[0].members.revisions_by_instance
        await wait_until(lambda: set(confirmed(current_time()).values()) == {1})

    _run(scenario)


def test_partitioned_zone_learns_from_peers_and_sees_when_it_is_cut_off() -> (
    None
):
    """A zone cut off from the platform stays in service through its peers.

    It counts as cut off only when no peer reaches the platform for it.
    """

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        fleet = await _fleet(server, stack, 'aab')
        replace_faults(server.state, (Fault(('127.0.1.2',), down='refuse'),))
        for revision in (1, 2):
            publish_revision(server, revision, [b'p', str(revision).encode()])
            await _wait_for_revision(fleet, revision)
        remote_members = fleet[2].members
        assert not remote_members.is_cut_off(current_time())
        for daemon in fleet[:2]:
            await daemon.membership.stop()
            await daemon.links.stop()
        await wait_until(lambda: remote_members.is_cut_off(current_time()))
        replace_faults(server.state, ())
        await wait_until(lambda: not remote_members.is_cut_off(current_time()))

    _run(scenario)


def test_start_while_the_platform_is_down() -> None:
    """A daemon started in an outage must get its configuration from a peer."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        publish_revision(server, 3, _LARGE_PARTS)
        fleet = await _fleet(server, stack, 'aa')
        await _wait_for_revision(fleet, 3)
        replace_faults(server.state, (Fault(down='unavailable'),))
        late_daemon = Daemon(server, 'late', 'a', seeds=[fleet[0].address])
        await stack.enter_async_context(late_daemon)
        await _wait_for_revision([late_daemon], 3)
        await wait_until(lambda: len(late_daemon.links.connected_peers()) == 2)

    _run(scenario)


def test_stale_reads_and_stalled_watch() -> None:
    """Stale reads and stalled watches may delay a revision, not undo it."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        publish_revision(server, 1, [b'p'])
        fleet = await _fleet(server, stack, 'a')
        await _wait_for_revision(fleet, 1)
        revisions: list[int] = []
        holder = fleet[0].holder
        holder.subscribe(lambda _: revisions.append(holder.revision))
        replace_faults(server.state, (Fault(stall_watches=True),))
        publish_revision(server, 2, [b'q'])
        await _wait_for_revision(fleet, 2)
        stale = Fault(stall_watches=True, stale_versions=3)
        replace_faults(server.state, (stale,))
        calls = server.state.calls
        call_count = calls['list']
        await wait_until(lambda: calls['list'] > call_count + 1)
        publish_revision(server, 3, [b'r'])
        replace_faults(server.state, ())
        await _wait_for_revision(fleet, 3)
        assert revisions == [2, 3]

    _run(scenario)


def test_missing_and_damaged_parts_leave_the_revision_in_force() -> None:
    """Missing or damaged parts must not change the revision in force.

    Once the parts are complete, the new revision must come into force.
    """

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        publish_revision(server, 1, [b'p'])
        fleet = await _fleet(server, stack, 'aa')
        await _wait_for_revision(fleet, 1)
        calls = server.state.calls
        for revision, damage in ((2, None), (3, b'cut of')):
            whole = str(revision).encode()
            name = f'config/part/{digest_of(whole)}'
            head = text_head(revision, [whole])
            store_object(server.state, name, damage, None, 0)
            store_object(server.state, 'config/head', head, None, 0)
            call_count = calls['get']
            await wait_until(
                lambda min_calls=call_count + 4: calls['get'] > min_calls
            )
            assert [d.holder.revision for d in fleet] == [revision - 1] * 2
            store_object(server.state, name, whole, None, 0)
            await _wait_for_revision(fleet, revision)

    _run(scenario)
