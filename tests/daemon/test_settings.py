"""Tests of the settings of the daemon."""

import pytest

from geraniumshelf_core.errors import OperatorError, ResultCode
from geraniumshelf_daemon.settings import Settings, read_settings

FLAGS = (
    '--instance=addis-a-0',
    '--zone=addis-a',
    '--region=addis',
    '--caller-address=127.0.0.1:8000',
    '--peer-address=127.0.0.1:8001',
    '--operator-address=127.0.0.1:8002',
)
ENVIRONMENT = {'GERANIUMSHELF_PLATFORM_URL': 'http://127.0.0.1:9000/'}


def _read(*flags: str) -> Settings:
    return read_settings([*FLAGS, *flags], ENVIRONMENT)


def test_variable_fills_a_missing_flag() -> None:
    """Without its variable, the daemon would have no platform URL."""
    assert _read().platform_url == 'http://127.0.0.1:9000'


def test_flag_goes_before_variable() -> None:
    """A flag must override the inherited environment."""
    found = _read('--platform-url=http://127.0.0.1:1')
    assert found.platform_url == 'http://127.0.0.1:1'


@pytest.mark.parametrize(
    ('flag', 'found'),
    [
        ('--peer-address=localhost:1', 'localhost:1'),
        ('--peer-address=127.0.0.1:70000', '70000'),
        ('--log-format=xml', 'xml'),
        ('--seed-peers=127.0.0.1:1,x', 'x'),
        ('--platform-url=ftp://a', 'ftp'),
        ('--instance=a/b', 'a/b'),
    ],
)
def test_bad_value_is_named(flag: str, found: str) -> None:
    """The error must name the flag and the value found."""
    with pytest.raises(OperatorError) as caught:
        _read(flag)
    assert caught.value.code is ResultCode.SETTING_INVALID
    assert found in caught.value.detail


def test_missing_setting_is_named() -> None:
    """A daemon without a platform URL must not start."""
    with pytest.raises(OperatorError, match='GERANIUMSHELF_PLATFORM_URL'):
        read_settings(FLAGS, {})
