"""Tests how a daemon applies records of the store."""

from tests.platform.harness import make_configuration

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.shares.quotas import AccountQuotas
from geraniumshelf_core.shares.retries import RetryShares
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.interface import RecordKind, RecordSet
from geraniumshelf_daemon.edge.sinks import (
    MISSING_ENTRY_GRACE_NS,
    ConfigurationSink,
    EvacuationSink,
    ServerSink,
)
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_platform.records import decode_record

_NOW = 100 * SECOND_NS


def _sink(
    *servers: ListedServer, store_available_since: int = 0
) -> tuple[ServerSink, PlacementState]:
    placement = PlacementState(Place('a1', 'a'), {'a1': 'a'})
    state = EdgeState(placement, AccountQuotas(0, 0, 1), RetryShares(0, 0, 1))
    sink = ServerSink(state, lambda _now: store_available_since)
    view = RecordSet(
        StoreRevision(0, 1), {server.name: server for server in servers}
    )
    sink.replace(view, _NOW)
    return sink, placement


def _server(started_at_ms: int) -> ListedServer:
    return ListedServer(
        's1', 'desk', '10.0.0.1:1', 'a1', 2, started_at_ms=started_at_ms
    )


def test_server_whose_entry_lapsed_is_not_cold_when_it_returns() -> None:
    """Guard against servers that count as cold after an outage of the store."""
    sink, placement = _sink(_server(7), store_available_since=_NOW)
    gone = RecordSet(StoreRevision(0, 2), {'s1': None})
    sink.change(gone, _NOW)
    sink.expire_missing(_NOW + MISSING_ENTRY_GRACE_NS - 1)
    assert placement.servers
    sink.expire_missing(_NOW + MISSING_ENTRY_GRACE_NS)
    assert not placement.servers
    back = RecordSet(StoreRevision(0, 3), {'s1': _server(7)})
    sink.change(back, _NOW + MISSING_ENTRY_GRACE_NS)
    assert placement.servers['s1'].cold_until == 0


def test_server_that_started_again_is_cold() -> None:
    """Guard against full load on a server that has lost its cache.

    Such a server crashes under the full load.
    """
    sink, placement = _sink(_server(7))
    sink.change(RecordSet(StoreRevision(0, 2), {'s1': None}), _NOW)
    sink.change(RecordSet(StoreRevision(0, 3), {'s1': _server(8)}), _NOW)
    assert placement.servers['s1'].cold_until > _NOW


def test_first_list_finds_servers_that_run_already() -> None:
    """Guard against a starting daemon that takes all servers for cold."""
    _, placement = _sink(_server(7))
    assert placement.servers['s1'].cold_until == 0


def test_removed_entry_is_gone_at_once_without_an_outage() -> None:
    """Guard against use of a server that leaves without draining."""
    sink, placement = _sink(_server(7))
    sink.change(RecordSet(StoreRevision(0, 2), {'s1': None}), _NOW)
    assert not placement.servers


def test_daemon_is_loaded_once_all_kinds_are_listed() -> None:
    """Guard against requests to a zone that is being evacuated."""
    placement = PlacementState(Place('a1', 'a'), {'a1': 'a'})
    state = EdgeState(placement, AccountQuotas(0, 0, 1), RetryShares(0, 0, 1))
    record = decode_record(
        RecordKind.CONFIGURATION, 'main', make_configuration()
    )
    ConfigurationSink(state, lambda: None).replace(
        RecordSet(StoreRevision(0, 1), {'main': record}), _NOW
    )
    empty = RecordSet(StoreRevision(0, 1), {})
    ServerSink(state, lambda _now: 0).replace(empty, _NOW)
    assert not state.is_loaded
    EvacuationSink(state).replace(empty, _NOW)
    assert state.is_loaded
