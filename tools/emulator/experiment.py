"""Description of an experiment: fleet, services, kinds of requests, events."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, TypeVar

from attrs import evolve, field, fields_dict, frozen

from geraniumshelf_core.policies import Policies

T = TypeVar('T')

PATTERNS: Final = Path(__file__).parent / 'patterns'
# Policies that the program of the daemon leaves off unless a flag is set.
_DEFAULTS_OF_THE_PROGRAM: Final = {
    'paces_servers': False,
    'plans_by_demand': False,
}


class ExperimentError(Exception):
    """An experiment file or an override of a policy is invalid."""


@frozen
class Service:
    """The backend servers of one service.

    Attributes:
        name: Name of the service.
        servers: Number of servers in each zone, in the order of the zones.
        slots: Requests that a server runs concurrently.
        queue: Requests that a server queues while all its slots are in use.
            Further requests are shed.
        warm_objects: Number of objects that a server keeps warm. The least
            recently used one is evicted first.
        cold_start_s: Time after a start during which a server is cold and
            sustains few requests, seconds.
        cold_per_s: Requests per second that a cold server sustains.
        speeds: Factors on the work time, assigned to the servers in turn.
        pause_s: ``Retry-After`` of a server's rejections, seconds; 0 for none.
    """

    name: str
    servers: tuple[int, ...]
    slots: int = 3
    queue: int = 9
    warm_objects: int = 24
    cold_start_s: float = 3
    cold_per_s: float = 6
    speeds: tuple[float, ...] = (1,)
    pause_s: float = 0


@frozen
class Kind:
    """Requests of one kind.

    Attributes:
        name: Name of the kind.
        service: Service to which the requests are sent.
        part: Fraction of the slots of the service that the requests occupy at
            a demand of 1 if each run is warm.
        cold_ms: Work for an object that is not warm, milliseconds.
        warm_ms: Work for a warm object, milliseconds.
        spread: Standard deviation of the work, as a fraction of the work.
        target_ms: Time within which an answer is on time, milliseconds.
        deadline_ms: Time that the caller waits, milliseconds.
        worth: Credit for an answer on time.
        late_worth: Credit for a late answer.
        priority: Priority; 0 is the highest.
        is_idempotent: Whether a request may run more than once.
        objects: Number of objects that the callers of each region request.
        skew: Exponent of the popularity of objects; 0 for equal popularity.
        retries: Largest number of retries by a caller.
        impatient: Fraction of the retries that ignore ``Retry-After``.
        leaves: Fraction of the callers that abandon their request after half
            the target time.
    """

    name: str
    service: str
    part: float
    cold_ms: float
    warm_ms: float
    target_ms: float
    deadline_ms: float
    spread: float = 0.15
    worth: float = 1
    late_worth: float = 0.2
    priority: int = 1
    is_idempotent: bool = True
    objects: int = 90
    skew: float = 0.2
    retries: int = 1
    impatient: float = 0.1
    leaves: float = 0


@frozen
class Event:
    """An event that changes servers, daemons or callers for some time.

    Attributes:
        at: Time from the start of traffic, seconds.
        kind: ``evacuate``, ``leave``, ``slow``, ``grey``, ``flap``, ``power``,
            ``burst``, ``shift``, ``hot_object`` or ``limit``.
        for_s: Time until the event ends, seconds.
        share: Fraction of the servers that are affected, at least one.
            Fraction of the callers that move for ``shift``, and of the requests
            that are for the first object for ``hot_object``.
        x: Factor on the work time for ``slow`` and on the demand for
            ``burst``; fraction of failed requests for ``grey``; requests per
            second that the servers name for ``limit``.
        zone: Index of the affected zone; -1 for all zones.
        to_zone: Index of the zone to which callers move for ``shift``.
    """

    at: float
    kind: str
    for_s: float = 8
    share: float = 0.33
    x: float = 4
    zone: int = -1
    to_zone: int = 0


@frozen
class Experiment:
    """One load pattern on one fleet.

    Attributes:
        name: Name of the pattern.
        seconds: Duration of the traffic, seconds.
        regions: Number of regions.
        zones: Number of zones in each region.
        daemons: Number of daemons in each zone.
        demand: Demand as a fraction of the capacity of all slots if each run
            is warm.
        swing: Amplitude of the sine by which the demand varies, as a fraction
            of the demand, 0 to 1. The phase differs between regions.
        period_s: Period of the variation, seconds.
        region_ms: One-way delay between regions, milliseconds.
        zone_ms: One-way delay between zones of a region, milliseconds.
        listing_s: Time until daemons learn of a change of the server list,
            seconds.
        services: Services and their backend servers.
        kinds: Kinds of requests.
        events: Events during the traffic.
        policies: Policies of the daemons.
    """

    name: str
    seconds: float = 30
    regions: int = 3
    zones: int = 2
    daemons: int = 2
    demand: float = 0.6
    swing: float = 0
    period_s: float = 36
    region_ms: float = 35
    zone_ms: float = 4
    listing_s: float = 0.3
    services: tuple[Service, ...] = ()
    kinds: tuple[Kind, ...] = ()
    events: tuple[Event, ...] = ()
    policies: Policies = field(factory=Policies)

    @property
    def zone_count(self) -> int:
        """Return the number of zones of all regions."""
        return self.regions * self.zones

    def region_of(self, zone: int) -> int:
        """Return the index of the region to which a zone belongs."""
        return zone // self.zones


def read_experiment(path: Path) -> Experiment:
    """Read an experiment from a TOML file.

    Raises:
        ExperimentError: If the file can't be read or is invalid. The message
            names the file, the table and the key.
    """
    try:
        content = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(f'{path}: {error}') from error
    try:
        return _parse_experiment(content)
    except (TypeError, ValueError) as error:
        raise ExperimentError(f'{path}: {error}') from error


def find_pattern(name: str) -> Path:
    """Return the file of the pattern with a name.

    A name that is not a pattern is returned as a path.
    """
    pattern = PATTERNS / f'{name}.toml'
    return pattern if pattern.exists() else Path(name)


def override_policies(
    experiment: Experiment, changes: Mapping[str, str]
) -> Experiment:
    """Return a copy of an experiment with other constants of its policies.

    Args:
        experiment: Experiment to copy.
        changes: Texts of the new values, by names of attributes of
            ``Policies``.

    Raises:
        ExperimentError: If a name is unknown or a value has the wrong type.
    """
    known = fields_dict(Policies)
    parsed: dict[str, Any] = {}
    for name, text in changes.items():
        if name not in known:
            allowed = ', '.join(sorted(known))
            raise ExperimentError(f'unknown policy {name}; known: {allowed}')
        parsed[name] = _parse_policy_value(name, text, known[name].type or str)
    return evolve(experiment, policies=evolve(experiment.policies, **parsed))


def _parse_policy_value(name: str, text: str, kind: type) -> object:
    if kind is bool:
        if text not in {'true', 'false'}:
            raise ExperimentError(f'{name}={text}: must be true or false')
        return text == 'true'
    try:
        return kind(text)
    except ValueError as error:
        raise ExperimentError(f'{name}={text}: {error}') from error


def _parse_experiment(content: Mapping[str, Any]) -> Experiment:
    tables = dict(content)
    services = tuple(_build(Service, row) for row in tables.pop('services', ()))
    kinds = tuple(_build(Kind, row) for row in tables.pop('kinds', ()))
    events = tuple(_build(Event, row) for row in tables.pop('events', ()))
    rows = _DEFAULTS_OF_THE_PROGRAM | tables.pop('policies', {})
    policies = _build(Policies, rows)
    experiment = _build(
        Experiment,
        {
            **tables,
            'services': services,
            'kinds': kinds,
            'events': events,
            'policies': policies,
        },
    )
    for service in services:
        if len(service.servers) != experiment.zone_count:
            raise ValueError(
                f'services {service.name}: servers has'
                f' {len(service.servers)} entries, but the experiment has'
                f' {experiment.zone_count} zones'
            )
    names = {service.name for service in services}
    for kind in kinds:
        if kind.service not in names:
            raise ValueError(f'kinds {kind.name}: no service {kind.service}')
    return experiment


def _build(table_class: type[T], row: Mapping[str, Any]) -> T:
    known = fields_dict(table_class)  # type: ignore[arg-type]
    unknown = sorted(set(row) - set(known))
    if unknown:
        raise ValueError(
            f'{table_class.__name__.lower()} has no key {unknown[0]};'
            f' known keys: {", ".join(known)}'
        )
    return table_class(
        **{
            name: tuple(value) if isinstance(value, list) else value
            for name, value in row.items()
        }
    )
