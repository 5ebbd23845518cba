"""A plain-text configuration format and daemons with only a control plane."""

import hashlib
import socket
from collections.abc import Sequence

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.membership.service import MembershipService
from geraniumshelf_daemon.peers.links import PeerLinks
from geraniumshelf_daemon.platform.http import HttpPlatform
from geraniumshelf_daemon.replication.holder import ConfigurationHolder
from geraniumshelf_daemon.replication.service import Replication
from geraniumshelf_standins.platform.commands import (
    declare_instance,
    store_object,
)
from geraniumshelf_standins.platform.server import PlatformServer
from geraniumshelf_standins.platform.state import Instance


def digest_of(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()


def text_head(revision: int, parts: Sequence[bytes]) -> bytes:
    return ' '.join([str(revision), *map(digest_of, parts)]).encode()


class TextFormat:
    """A head is a revision and digests; joined parts name the deployment."""

    def decode_head(self, encoded: bytes) -> tuple[int, tuple[str, ...]]:
        revision, *digests = encoded.decode().split()
        return int(revision), tuple(digests)

    def digest(self, content: bytes) -> str:
        return digest_of(content)

    def join(self, contents: Sequence[bytes]) -> Configuration:
        if b'bad' in contents:
            raise ValueError('damaged part')
        return Configuration(b' '.join(contents).decode())


class Daemon:
    """The control plane of one daemon, listening on a loopback address."""

    def __init__(
        self,
        server: PlatformServer,
        name: str,
        zone: str,
        *,
        source: str = '127.0.0.1',
        seeds: Sequence[str] = (),
        port: int = 0,
    ) -> None:
        self.server = server
        self.source = source
        self._listener = socket.create_server(('127.0.0.1', port))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.hello = Hello(name, zone, 'r', '', self.address, len(name))
        self.holder = ConfigurationHolder(TextFormat())
        self.members = Members(self.hello, lambda: self.holder.revision)
        self.links = PeerLinks(self.hello, self.members.build_heartbeat)
        self.platform = HttpPlatform(server.url, source_address=source)
        self.membership = MembershipService(
            self.members, self.links, self.platform, seeds=seeds
        )
        self.replication = Replication(
            self.holder, self.members, self.links, self.platform
        )

    def declare(self, server: PlatformServer) -> None:
        """Add the daemon to the platform's instance list."""
        listed = Instance(self.hello.instance, self.hello.zone, self.address)
        declare_instance(server.state, listed, 0)

    @property
    def is_watcher(self) -> bool:
        return self.members.is_watcher(current_time())

    async def __aenter__(self) -> 'Daemon':
        await self.links.start(self._listener)
        self.membership.start()
        self.replication.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.replication.stop()
        await self.membership.stop()
        await self.links.stop()
        self.platform.close()


def publish_revision(
    server: PlatformServer, revision: int, parts: Sequence[bytes]
) -> None:
    """Store the parts and then the head, as an apply does."""
    for part in parts:
        name = f'config/part/{digest_of(part)}'
        store_object(server.state, name, part, None, 0)
    head = text_head(revision, parts)
    store_object(server.state, 'config/head', head, None, 0)
