"""Guards polls of backend servers and the exchange of reports."""

import asyncio
from collections.abc import Iterator

import pytest
from attrs import Factory, define
from tests.daemon.steering.simulation import REGIONS, SimulatedEnvironment
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.loads.queries import is_server_leaving
from geraniumshelf_core.messages.steering import DemandReport, LoadReport
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.steering.collector import LoadCollector
from geraniumshelf_daemon.steering.demand import DemandMeter
from geraniumshelf_daemon.steering.interface import DaemonIdentity, PolledLoad
from geraniumshelf_daemon.steering.load_fetcher import LoadFetcher, parse_load


@define
class Network:
    """Queues messages between nodes and delivers them in order."""

    handlers: dict[tuple[str, type], object] = Factory(dict)
    names: tuple[str, ...] = REGIONS
    queue: list[tuple[str, str, object]] = Factory(list)

    async def deliver(self) -> None:
        while self.queue:
            sender, receiver, message = self.queue.pop(0)
            handler = self.handlers.get((receiver, type(message)))
            if handler is not None:
                await handler(sender, message)


@define
class Links:
    """The links of one node."""

    network: Network
    name: str
    linked: tuple[str, ...] | None = None

    def register(self, message_type: type, handler: object) -> None:
        self.network.handlers[self.name, message_type] = handler

    def connected_peers(self) -> tuple[str, ...]:
        if self.linked is not None:
            return self.linked
        return tuple(name for name in self.network.names if name != self.name)

    def notify(self, instance: str, message: object) -> None:
        self.network.queue.append((self.name, instance, message))


def _collector(
    environment: SimulatedEnvironment, links: Links, fetch
) -> LoadCollector:
    name = links.name
    collector = LoadCollector(
        DaemonIdentity(name, 7, f'{name}1', name),
        environment,
        environment,
        links,
        environment,
        fetch,
        lambda: environment.now,
    )
    collector.register()
    return collector


@pytest.fixture
def nodes() -> Iterator[
    tuple[SimulatedEnvironment, Network, dict[str, LoadCollector]]
]:
    async def fetch(address: str) -> PolledLoad | None:
        return PolledLoad(2, 20, True)

    environment, network = SimulatedEnvironment(), Network()
    line = {'a': ('b',), 'b': ('a', 'c'), 'c': ('b',)}
    return (
        environment,
        network,
        {
            name: _collector(
                environment, Links(network, name, line[name]), fetch
            )
            for name in REGIONS
        },
    )


def test_reports_reach_all_nodes_over_a_chain(nodes) -> None:
    """Peers without a direct link must receive reports from a relay.

    A report that is relayed more than once would circulate without end.
    """
    environment, network, collectors = nodes

    async def rounds() -> None:
        for _ in range(10):
            await collectors['a'].collect()
            await network.deliver()
            environment.now += SECOND_NS

    asyncio.run(rounds())
    assert is_server_leaving(collectors['a'].load_table, 'a')
    assert is_server_leaving(collectors['c'].load_table, 'a')
    assert collectors['c'].load_table.demands.keys() == {'a'}
    assert collectors['b'].load_table.servers.keys() == {'a'}


def test_own_region_receives_each_poll(nodes) -> None:
    """A leaving server must be known in its region within 3 s.

    Peers in the own region therefore receive each poll.
    """
    _, network, collectors = nodes
    collectors['a'].identity = DaemonIdentity('a', 7, 'a1', 'b')
    asyncio.run(collectors['a'].collect())
    assert [(row[1], type(row[2])) for row in network.queue] == [
        ('b', LoadReport)
    ]


def test_other_regions_are_notified_at_once_of_a_leaving_server(nodes) -> None:
    """Peers in other regions otherwise receive each tenth poll only.

    Daemons of a failover region kept sending requests to a leaving server for
    up to 10 s.
    """
    environment, network, collectors = nodes

    async def rounds() -> None:
        await collectors['a'].collect()
        await network.deliver()
        assert is_server_leaving(collectors['b'].load_table, 'a')
        assert is_server_leaving(collectors['c'].load_table, 'a')
        environment.now += SECOND_NS
        await collectors['a'].collect()
        assert not network.queue

    asyncio.run(rounds())


@pytest.mark.parametrize(
    'message',
    [
        LoadReport('x', 1, 9, 0, (('a', 1),)),
        LoadReport('x', 1, 9, 0, ('abcd',)),
        DemandReport('x', 'x', 1, 9, (('s', 'a', 'many'),)),
    ],
)
def test_malformed_rows_change_nothing(nodes, message) -> None:
    """A malformed report must not end a task or enter the load table."""
    _, network, collectors = nodes
    network.queue.append(('b', 'a', message))
    with pytest.raises(PeerError):
        asyncio.run(network.deliver())
    assert not collectors['a'].load_table.sequences


def test_mean_demand_follows_requests_in_flight() -> None:
    """A single long request must count as one request on average."""
    meter = DemandMeter()
    now = 10 * SECOND_NS
    meter.collect_demand(now)
    meter.record_start('s', 'a', now)
    for _ in range(40):
        now += 2 * SECOND_NS
        latest = meter.collect_demand(now)
    assert latest[0][:2] == ('s', 'a')
    assert 999_000 <= latest[0][2] <= 1_000_000
    meter.record_completion('s', 'a', now)
    for _ in range(80):
        now += 2 * SECOND_NS
        latest = meter.collect_demand(now)
    assert latest == ()


def test_new_traffic_is_counted_with_the_first_report() -> None:
    """Smoothing must not delay increases.

    Otherwise, a drain right after traffic has begun would move more to other
    regions than they have capacity for, because they would look idle.
    """
    meter = DemandMeter()
    now = 10 * SECOND_NS
    meter.collect_demand(now)
    for _ in range(4):
        meter.record_start('s', 'a', now)
    ((_, _, mean),) = meter.collect_demand(now + 5 * SECOND_NS)
    assert mean == 4_000_000
    for _ in range(4):
        meter.record_start('s', 'a', now + 5 * SECOND_NS)
    ((_, _, mean),) = meter.collect_demand(now + 10 * SECOND_NS)
    assert mean == 8_000_000


def test_fetch_reuses_connections_and_survives_faults() -> None:
    """A new connection for each poll would cost 1 ms."""
    assert asyncio.run(_fetch_all()) == [
        PolledLoad(1, 5, False),
        PolledLoad(1, 5, False),
        None,
        PolledLoad(1, 5, False),
        None,
    ]


async def _fetch_all() -> list[PolledLoad | None]:
    sources: set[object] = set()
    good = b'{"in_flight": 1, "slots": 5, "leaving": false}'
    bodies = [good, good, b'{"in_flight": "1"}', good]

    def respond(request) -> None:
        sources.add(request.connection.stream.socket.getpeername())
        body = bodies.pop(0)
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        request.connection.stream.write(head.encode() + body)
        request.connection.finish()
        if len(bodies) == 2:
            request.connection.stream.close()

    listener, port = bind_unused_port(address='127.0.0.1')
    server = HTTPServer(respond)
    server.add_socket(listener)
    fetcher = LoadFetcher()
    polled = [await fetcher.fetch(f'127.0.0.1:{port}') for _ in range(4)]
    assert len(sources) == 2
    server.stop()
    await server.close_all_connections()
    polled.append(await fetcher.fetch(f'127.0.0.1:{port}'))
    fetcher.keep_only(frozenset())
    return polled


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"in_flight": true, "slots": 1}',
        b'{"in_flight": -1, "slots": 1}',
        b'{"in_flight": 1, "slots": 1, "leaving": 0}',
    ],
)
def test_wrong_documents_are_no_report(body: bytes) -> None:
    """A server with a malformed load document must count as silent."""
    assert parse_load(body) is None
