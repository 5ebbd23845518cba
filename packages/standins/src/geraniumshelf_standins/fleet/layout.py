"""Loopback addresses and ports of the processes of a deployment."""

from typing import Final

from attrs import frozen

from geraniumshelf_core.configuration.model import Configuration

CALLER_PORT: Final = 18000
PEER_PORT: Final = 18001
OPERATOR_PORT: Final = 18002
RELAY_PORT: Final = 18003
PLATFORM_PORT: Final = 18090

# Last byte of the address of slot 0 of a zone.
_FIRST_HOST_NUMBER: Final = 101


@frozen
class FleetInstance:
    """An entry instance of the deployment and its addresses.

    Attributes:
        name: Instance name.
        zone: Availability zone.
        region: Region of the zone.
        host: Loopback IP address.
    """

    name: str
    zone: str
    region: str
    host: str

    @property
    def caller_address(self) -> str:
        """Return the address that callers connect to."""
        return f'{self.host}:{CALLER_PORT}'

    @property
    def peer_address(self) -> str:
        """Return the address that other daemons connect to."""
        return f'{self.host}:{PEER_PORT}'

    @property
    def relay_address(self) -> str:
        """Return the address of the relay in front of the peer address."""
        return f'{self.host}:{RELAY_PORT}'

    @property
    def operator_address(self) -> str:
        """Return the address of the operator API."""
        return f'{self.host}:{OPERATOR_PORT}'


def list_fleet_instances(
    configuration: Configuration, network: int
) -> tuple[FleetInstance, ...]:
    """Return an entry instance for each slot of each availability zone.

    Args:
        configuration: Configuration with the zones.
        network: Second byte N of the loopback addresses ``127.N.x.y``.
    """
    return tuple(
        FleetInstance(
            f'{zone.name}-{slot}',
            zone.name,
            zone.region,
            f'127.{network}.{index}.{_FIRST_HOST_NUMBER + slot}',
        )
        for index, zone in enumerate(configuration.zones, start=1)
        for slot in range(zone.slots)
    )


def platform_address(network: int) -> str:
    """Return the address of the simulated platform."""
    return f'127.{network}.0.1:{PLATFORM_PORT}'
