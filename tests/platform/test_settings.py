"""Tests of the settings file that the platform writes."""

import json
from pathlib import Path
from typing import Any

import pytest

from geraniumshelf_core.errors import OperatorError, ResultCode
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.settings import DEFAULT_SERVER_HEARTBEAT_NS
from geraniumshelf_platform.settings import read_settings

SETTINGS: dict[str, Any] = {
    'node_name': 'n1',
    'ip': '10.1.0.35',
    'zone': 'a1',
    'zones': {'a1': 'a', 'b1': 'b'},
    'listen': {
        'front': '10.1.0.35:8686',
        'ready': '10.1.0.35:8680',
        'directory': '10.1.0.35:8684',
    },
    'internal_ports': [7740, 7755],
    'seeds': ['10.1.0.35:8688', '10.2.0.40:8688'],
    'heartbeat_s': 0.5,
    'bounds': {
        'contact_s': 4,
        'grace_s': 6,
        'retry_budget_ratio': 0.2,
        'retry_window_s': 10,
        'retry_budget_slack': 58,
        'quota_overshoot': 0.1,
        'quota_slack': 20,
        'quota_window_s': 5,
        'cold_overshoot': 1.5,
        'cold_slack': 5,
        'ttl_max_s': 5,
        'max_shift': 0.15,
    },
    'platform': {'address': '10.200.1.7:8682'},
    'something_new': [1, 2],
}


def _write(path: Path, content: dict[str, Any]) -> str:
    path.write_text(json.dumps(content), encoding='utf-8')
    return str(path)


def test_settings_are_read(tmp_path: Path) -> None:
    """Unknown fields must not change how known ones are read."""
    found = read_settings(_write(tmp_path / 'boot.json', SETTINGS))
    assert found.region == 'a'
    assert found.seeds == ('10.1.0.35', '10.2.0.40')
    assert found.peer_port == 7740
    assert found.bounds.contact_time == 4 * SECOND_NS
    assert found.bounds.max_shift == 0.15
    assert found.bounds.server_heartbeat_interval == SECOND_NS // 2


def test_default_heartbeat_interval_is_used_if_none_is_set(
    tmp_path: Path,
) -> None:
    """Guards against a daemon that does not start without this field."""
    content = {**SETTINGS}
    del content['heartbeat_s']
    found = read_settings(_write(tmp_path / 'boot.json', content))
    assert found.bounds.server_heartbeat_interval == DEFAULT_SERVER_HEARTBEAT_NS


@pytest.mark.parametrize(
    'field', ['node_name', 'zone', 'listen', 'bounds', 'platform']
)
def test_missing_field_is_named(tmp_path: Path, field: str) -> None:
    """The error must name the file and the field to correct."""
    content = {
        name: setting for name, setting in SETTINGS.items() if name != field
    }
    path = _write(tmp_path / 'boot.json', content)
    with pytest.raises(OperatorError) as caught:
        read_settings(path)
    assert caught.value.code is ResultCode.SETTING_INVALID
    assert field in caught.value.detail
    assert path in caught.value.detail


def test_unknown_zone_is_refused(tmp_path: Path) -> None:
    """A daemon that does not know its region would serve from anywhere."""
    path = _write(tmp_path / 'boot.json', {**SETTINGS, 'zone': 'c1'})
    with pytest.raises(OperatorError):
        read_settings(path)


def test_file_that_is_no_json_is_refused(tmp_path: Path) -> None:
    """A partially written file must end in an error and not a traceback."""
    path = tmp_path / 'boot.json'
    path.write_text('{"node_name": ', encoding='utf-8')
    with pytest.raises(OperatorError) as caught:
        read_settings(str(path))
    assert caught.value.code is ResultCode.FILE_UNREADABLE


def test_memory_and_descriptors_are_optional(tmp_path: Path) -> None:
    """Guards against bounds in deployments whose settings name none."""
    path = tmp_path / 'boot.json'
    found = read_settings(_write(path, SETTINGS))
    assert (found.memory_bytes, found.max_descriptors) == (0, 0)
    limits = {'memory_mb': 152, 'max_fds': 1535}
    found = read_settings(_write(path, {**SETTINGS, 'limits': limits}))
    assert found.memory_bytes == 152 * 1048576
    assert found.max_descriptors == 1535
