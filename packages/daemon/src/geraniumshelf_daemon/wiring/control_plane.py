"""Construction of the parts that follow configuration and members."""

from attrs import define, field

from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.membership.service import MembershipService
from geraniumshelf_daemon.peers.links import PeerLinks
from geraniumshelf_daemon.platform.http import HttpPlatform
from geraniumshelf_daemon.replication.holder import ConfigurationHolder
from geraniumshelf_daemon.replication.service import Replication
from geraniumshelf_daemon.settings import Settings
from geraniumshelf_daemon.wiring.layout_confirmation import LayoutConfirmation
from geraniumshelf_daemon.wiring.member_entries import MemberEntries
from geraniumshelf_daemon.wiring.stored_format import StoredFormat


@define(eq=False)
class ControlPlane:
    """Configuration in force, members and links of one daemon.

    Attributes:
        hello: Introduction of the daemon.
        clock: Logical clock of the daemon.
        platform: Client of the platform.
        holder: Configuration in force.
        members: Members of the fleet.
        links: Links to peers.
        entries: Members as entry instances for look-ups.
    """

    hello: Hello
    clock: LogicalClock
    platform: HttpPlatform
    holder: ConfigurationHolder = field(init=False)
    members: Members = field(init=False)
    links: PeerLinks = field(init=False)
    entries: MemberEntries = field(init=False)
    _membership: MembershipService = field(init=False)
    _replication: Replication = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.holder = ConfigurationHolder(StoredFormat())
        self.members = Members(self.hello, lambda: self.holder.revision)
        self.entries = MemberEntries(self.members)
        self.holder.subscribe(
            LayoutConfirmation(self.members, self.holder).apply
        )

    def connect(self, settings: Settings) -> None:
        """Create the links to peers and the services that use them."""
        self.links = PeerLinks(
            self.hello,
            self.members.build_heartbeat,
            clock=self.clock,
            source_address=settings.caller_address.host,
        )
        self._membership = MembershipService(
            self.members,
            self.links,
            self.platform,
            seeds=map(str, settings.seed_peers),
        )
        self._replication = Replication(
            self.holder, self.members, self.links, self.platform
        )

    def start(self) -> None:
        """Start following members and configuration."""
        self._membership.start()
        self._replication.start()

    async def stop(self) -> None:
        """Stop following members and configuration and close all links."""
        await self._replication.stop()
        await self._membership.stop()
        await self.links.stop()


def build_control_plane(
    settings: Settings, hello: Hello, clock: LogicalClock
) -> ControlPlane:
    """Return the control plane of a daemon, ready to start."""
    platform = HttpPlatform(
        settings.platform_url, source_address=settings.caller_address.host
    )
    control = ControlPlane(hello, clock, platform)
    control.connect(settings)
    return control
