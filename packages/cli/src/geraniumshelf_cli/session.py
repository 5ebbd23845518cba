"""What commands need of the outside world."""

import json
from collections.abc import Callable
from importlib import import_module
from typing import Any, Final

from attrs import field, frozen
from tornado.httpclient import AsyncHTTPClient

from geraniumshelf_cli.publishing import Publisher
from geraniumshelf_core.errors import OperatorError, ResultCode
from geraniumshelf_daemon.platform.interface import Platform

_DAEMON_TIMEOUT_S: Final = 10
_SHOWN_LENGTH: Final = 200


def open_platform(url: str) -> Platform:
    """Open the platform's object API."""
    # Imported here alone, so that `check` needs no platform adapter.
    adapter: Any = import_module('geraniumshelf_daemon.platform.http')
    platform: Platform = adapter.HttpPlatform(url)
    return platform


@frozen
class Session:
    """Opens the platform and asks daemons.

    Attributes:
        platform_url: Address of the platform's object API; empty for none.
        platform_factory: Opens the platform.
        retry_delay_s: Time between attempts to settle a lost answer, seconds.
    """

    platform_url: str
    platform_factory: Callable[[str], Platform] = field(default=open_platform)
    retry_delay_s: float = 0.5

    def platform(self) -> Platform:
        """Open the platform.

        Raises:
            OperatorError: ``SETTING_INVALID`` without an address.
        """
        if not self.platform_url:
            raise OperatorError(
                ResultCode.SETTING_INVALID,
                'no platform address; set --platform-url or '
                'GERANIUMSHELF_PLATFORM_URL',
            )
        return self.platform_factory(self.platform_url)

    def publisher(self) -> Publisher:
        """Return what reads and replaces the configuration."""
        return Publisher(self.platform(), retry_delay_s=self.retry_delay_s)

    async def call_daemon(
        self, address: str, path: str, method: str = 'GET'
    ) -> Any:
        """Ask a daemon's operator address and return the decoded JSON.

        Raises:
            OperatorError: ``DAEMON_UNREACHABLE`` for any other answer.
        """
        try:
            response = await AsyncHTTPClient().fetch(
                f'http://{address}{path}',
                method=method,
                body='' if method == 'POST' else None,
                request_timeout=_DAEMON_TIMEOUT_S,
            )
            return json.loads(response.body or b'{}')
        except Exception as error:
            raise OperatorError(
                ResultCode.DAEMON_UNREACHABLE,
                f'{address}{path}: {str(error)[:_SHOWN_LENGTH]}',
            ) from error
