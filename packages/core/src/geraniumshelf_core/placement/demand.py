"""The demand of each region: requests a second that its callers send.

Each entry measures the requests of its own callers and reports them to the
other daemons. The demand of a region is the sum of the reports of its entries.
"""

from collections import deque
from collections.abc import Mapping
from math import exp, isfinite
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.units import SECOND_NS, Nanoseconds, ns_to_seconds

# Time constant of the smoothed rate.
_SMOOTHING_S: Final = 1.0
# Time over which the slope is measured.
_SLOPE_S: Final = 2.0
# Demand is extrapolated over this time: objects move at most about 6% of a
# region's requests in it, so a plan has to be ahead of the demand.
_HORIZON_S: Final = 2.0
# Limit of the extrapolation as a fraction of the demand. A steeper slope is
# mostly noise of a few requests.
_MAX_EXTRAPOLATION: Final = 0.25
# A daemon counts as heard for this time after its last report, so that three
# of its reports in a row may be lost.
REPORT_LIFETIME_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Rates above this are no measurements; their sum must stay finite.
_MAX_RATE: Final = 1e9


@frozen
class DemandReport:
    """The demand of the callers of one daemon.

    Attributes:
        sender: Instance name.
        zone: Its availability zone.
        sequence: Number of the report in this run of the daemon.
        rates: Requests a second by service, smoothed.
        slopes: Change of these rates a second, by service.
    """

    sender: str
    zone: str
    sequence: int
    rates: dict[str, float]
    slopes: dict[str, float]


@define
class DemandMeter:
    """Measures the requests of this daemon's callers for one service.

    Attributes:
        count: Requests since the last measurement.
        rate: Smoothed requests a second.
        history: Time and smoothed rate of recent measurements, oldest first.
    """

    count: int = 0
    rate: float = 0
    history: deque[tuple[Nanoseconds, float]] = field(factory=deque)


@frozen
class HeardReport:
    """The newest report of a daemon.

    Attributes:
        report: The report.
        region: Region of its sender.
        heard_at: Time at which it arrived.
    """

    report: DemandReport
    region: str
    heard_at: Nanoseconds


@define
class DemandState:
    """What this daemon knows of the demand.

    Attributes:
        meters: Measurements of the requests of its own callers, by service.
        began_at: Time of the first measurement, ``None`` before it.
        measured_at: Time of the last measurement.
        heard: Newest reports by sender, with those of this daemon.
        entry_regions: Regions with an entry that sends heartbeats.
        is_exchanged: Whether the daemons report their demand to each other.
    """

    meters: dict[str, DemandMeter] = field(factory=dict)
    began_at: Nanoseconds | None = None
    measured_at: Nanoseconds = 0
    heard: dict[str, HeardReport] = field(factory=dict)
    entry_regions: frozenset[str] = frozenset()
    is_exchanged: bool = False


def count_request(state: DemandState, service: str) -> None:
    """Count a request of a caller that needs a server."""
    state.meters.setdefault(service, DemandMeter()).count += 1


def measure(state: DemandState, now: Nanoseconds) -> None:
    """Update the smoothed rates from the requests counted since the last call.

    The first call only begins the measurement.
    """
    if state.began_at is None:
        state.began_at = now
    elapsed_s = ns_to_seconds(now - state.measured_at)
    total_s = ns_to_seconds(now - state.began_at)
    for meter in state.meters.values():
        if total_s > 0 and elapsed_s > 0:
            # The plain mean until the measurement has lasted for the time
            # constant, as a rate that starts at 0 looks like a rise.
            gain = max(1 - exp(-elapsed_s / _SMOOTHING_S), elapsed_s / total_s)
            recent = meter.count / elapsed_s
            meter.rate += min(1, gain) * (recent - meter.rate)
            meter.history.append((now, meter.rate))
        meter.count = 0
        while meter.history and (
            ns_to_seconds(now - meter.history[0][0]) > _SLOPE_S
        ):
            meter.history.popleft()
    state.measured_at = now


def make_report(
    state: DemandState, sender: str, zone: str, sequence: int
) -> DemandReport:
    """Return the report of this daemon's own demand."""
    return DemandReport(
        sender,
        zone,
        sequence,
        {service: meter.rate for service, meter in state.meters.items()},
        {service: _slope(meter) for service, meter in state.meters.items()},
    )


def record_report(
    state: DemandState, report: DemandReport, region: str, now: Nanoseconds
) -> bool:
    """Record a report; return whether it is used.

    A report that arrives after a newer one is ignored. The numbers of a daemon
    that has restarted begin again, so they count only while it is heard.
    """
    known = state.heard.get(report.sender)
    if (
        known is not None
        and is_heard(known, now)
        and report.sequence <= known.report.sequence
    ):
        return False
    if not (_are_valid(report.rates, 0) and _are_valid(report.slopes)):
        return False
    state.heard[report.sender] = HeardReport(report, region, now)
    return True


def expire_reports(state: DemandState, now: Nanoseconds) -> None:
    """Remove the reports of daemons that are no longer heard."""
    for sender, heard in tuple(state.heard.items()):
        if not is_heard(heard, now):
            del state.heard[sender]


def is_heard(heard: HeardReport, now: Nanoseconds) -> bool:
    """Return whether a report still describes the demand."""
    return now - heard.heard_at <= REPORT_LIFETIME_NS


def demand_by_region(
    state: DemandState, service: str, now: Nanoseconds
) -> dict[str, float]:
    """Return the expected requests a second for a service, by region heard."""
    rates: dict[str, float] = {}
    slopes: dict[str, float] = {}
    for heard in state.heard.values():
        if is_heard(heard, now):
            region = heard.region
            report = heard.report
            rate = report.rates.get(service, 0)
            slope = report.slopes.get(service, 0)
            rates[region] = rates.get(region, 0) + rate
            slopes[region] = slopes.get(region, 0) + slope
    return {
        region: _extrapolate(rate, slopes[region])
        for region, rate in rates.items()
    }


def _extrapolate(rate: float, slope: float) -> float:
    limit = _MAX_EXTRAPOLATION * rate
    return rate + min(max(slope * _HORIZON_S, -limit), limit)


def _slope(meter: DemandMeter) -> float:
    if not meter.history:
        return 0
    begun_at, begun_rate = meter.history[0]
    span_s = ns_to_seconds(meter.history[-1][0] - begun_at)
    # A slope over a shorter time is mostly noise.
    return (meter.rate - begun_rate) / span_s if span_s >= _SLOPE_S / 2 else 0


def _are_valid(values: Mapping[str, float], least: float = -_MAX_RATE) -> bool:
    return all(
        isfinite(value) and least <= value <= _MAX_RATE
        for value in values.values()
    )
