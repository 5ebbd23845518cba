"""Access of commands to the platform and to daemons."""

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
_MAX_SHOWN_LENGTH: Final = 200


def open_platform(url: str) -> Platform:
    """Open the platform's object API."""
    # Imported only here, so that `check` works without a platform adapter.
    adapter: Any = import_module('geraniumshelf_daemon.platform.http')
    platform: Platform = adapter.HttpPlatform(url)
    return platform


@frozen
class Session:
    """Opens the platform and sends requests to daemons.

    Attributes:
        platform_url: URL of the platform's object API; empty if not set.
        platform_factory: Opens the platform at a URL.
        retry_delay_s: Time between two attempts of the publisher, seconds.
    """

    platform_url: str
    platform_factory: Callable[[str], Platform] = field(default=open_platform)
    retry_delay_s: float = 0.5

    def platform(self) -> Platform:
        """Open the platform.

        Raises:
            OperatorError: ``SETTING_INVALID`` if the URL is not set.
        """
        if not self.platform_url:
            raise OperatorError(
                ResultCode.SETTING_INVALID,
                'no platform URL; set --platform-url or '
                'GERANIUMSHELF_PLATFORM_URL',
            )
        return self.platform_factory(self.platform_url)

    def publisher(self) -> Publisher:
        """Return a publisher that reads and replaces the configuration."""
        return Publisher(self.platform(), retry_delay_s=self.retry_delay_s)

    async def call_daemon(
        self, address: str, path: str, method: str = 'GET'
    ) -> Any:
        """Send a request to a daemon and return the decoded JSON.

        Raises:
            OperatorError: ``DAEMON_UNREACHABLE`` if the request fails or the
                answer is not JSON.
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
                f'{address}{path}: {str(error)[:_MAX_SHOWN_LENGTH]}',
            ) from error
