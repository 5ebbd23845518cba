"""Guards the way of a revision to all daemons under failures."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from tests.daemon.loopback import run_scenario, until
from tests.daemon.replication.fakes import (
    Daemon,
    digest_of,
    publish,
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

_BIG = [bytes([number]) * 900_000 for number in (65, 66, 67)]


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
    await until(
        lambda: all(len(d.links.connected()) == len(fleet) - 1 for d in fleet)
    )
    return fleet


async def _reached(fleet: list[Daemon], revision: int) -> None:
    await until(lambda: all(d.holder.revision == revision for d in fleet))


def test_only_two_daemons_of_a_zone_watch() -> None:
    """Calls to the platform must not grow with the daemons of a zone."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        fleet = await _fleet(server, stack, 'aaaaaa')
        watchers = [daemon for daemon in fleet if daemon.is_watcher]
        assert len(watchers) == 2
        await until(lambda: server.state.calls['watch'] > 9)
        callers = server.state.caller_calls.values()
        assert sum(calls['watch'] > 0 for calls in callers) == 2
        assert server.state.calls['instances'] <= len(fleet) + 2
        publish(server, 1, [b'p', *_BIG])
        await _reached(fleet, 1)
        assert server.state.calls['get'] <= 8
        confirmed = watchers[0].members.confirmed_revisions
        await until(lambda: set(confirmed(current_time()).values()) == {1})

    _run(scenario)


def test_partitioned_zone_learns_from_peers_and_sees_when_it_is_cut_off() -> (
    None
):
    """A zone without the platform is in service while others reach it."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        fleet = await _fleet(server, stack, 'aab')
        replace_faults(server.state, (Fault(('127.0.1.2',), down='refuse'),))
        for revision in (1, 2):
            publish(server, revision, [b'p', str(revision).encode()])
            await _reached(fleet, revision)
        far = fleet[2].members
        assert not far.is_cut_off(current_time())
        for daemon in fleet[:2]:
            await daemon.membership.stop()
            await daemon.links.stop()
        await until(lambda: far.is_cut_off(current_time()))
        replace_faults(server.state, ())
        await until(lambda: not far.is_cut_off(current_time()))

    _run(scenario)


def test_start_while_the_platform_is_down() -> None:
    """A replaced instance must get its configuration from a peer."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        publish(server, 3, _BIG)
        fleet = await _fleet(server, stack, 'aa')
        await _reached(fleet, 3)
        replace_faults(server.state, (Fault(down='unavailable'),))
        late = Daemon(server, 'late', 'a', seeds=[fleet[0].address])
        await stack.enter_async_context(late)
        await _reached([late], 3)
        await until(lambda: len(late.links.connected()) == 2)

    _run(scenario)


def test_stale_reads_and_stalled_watch() -> None:
    """A misleading platform may delay a revision but never take one back."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        publish(server, 1, [b'p'])
        fleet = await _fleet(server, stack, 'a')
        await _reached(fleet, 1)
        revisions: list[int] = []
        holder = fleet[0].holder
        holder.subscribe(lambda _: revisions.append(holder.revision))
        replace_faults(server.state, (Fault(stall_watches=True),))
        publish(server, 2, [b'q'])
        await _reached(fleet, 2)
        stale = Fault(stall_watches=True, stale_versions=3)
        replace_faults(server.state, (stale,))
        calls = server.state.calls
        seen = calls['list']
        await until(lambda: calls['list'] > seen + 1)
        publish(server, 3, [b'r'])
        replace_faults(server.state, ())
        await _reached(fleet, 3)
        assert revisions == [2, 3]

    _run(scenario)


def test_missing_and_damaged_parts_leave_the_revision_in_force() -> None:
    """A daemon must keep what it has and recover once the parts are whole."""

    async def scenario(server: PlatformServer, stack: AsyncExitStack) -> None:
        publish(server, 1, [b'p'])
        fleet = await _fleet(server, stack, 'aa')
        await _reached(fleet, 1)
        calls = server.state.calls
        for revision, damage in ((2, None), (3, b'cut of')):
            whole = str(revision).encode()
            name = f'config/part/{digest_of(whole)}'
            head = text_head(revision, [whole])
            store_object(server.state, name, damage, None, 0)
            store_object(server.state, 'config/head', head, None, 0)
            seen = calls['get']
            await until(lambda least=seen + 4: calls['get'] > least)
            assert [one.holder.revision for one in fleet] == [revision - 1] * 2
            store_object(server.state, name, whole, None, 0)
            await _reached(fleet, revision)

    _run(scenario)
