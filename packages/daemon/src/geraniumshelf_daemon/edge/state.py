"""State on which decisions about requests are based."""

from attrs import define, field

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.errors import Ran
from geraniumshelf_core.placement.demand import count_request
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.presence.versions import VersionState
from geraniumshelf_core.shares.quotas import AccountQuotas
from geraniumshelf_core.shares.retries import RetryShares, earn_retries
from geraniumshelf_core.shares.whole_shares import WholeShares
from geraniumshelf_core.site.routing import RoutingTable
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.log_budget import LogBudget
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.edge.settings import EdgeSettings, OperatorBounds


@define(eq=False)
class EdgeState:
    """State on which decisions about requests are based.

    Attributes:
        placement: Backend servers.
        quotas: Shares of the rate limits of client accounts.
        retries: Shares of the retry budgets.
        table: Routes and keys, ``None`` before the first configuration.
        has_servers: Whether the list of backend servers has been loaded.
        has_evacuations: Whether the list of evacuated zones has been loaded.
        log_budget: Budget of log lines about single requests.
        in_flight: Number of requests that are being served.
        last_request_at: Time of the last request of a caller, 0 for none.
        request_count: Number of requests of callers since the start.
        is_stopping: Whether a graceful shutdown has begun.
        abort_at: Time at which it aborts the requests in flight, ``None``
            before it has begun.
        accepts_until: Time until which it accepts connections, ``None`` before
            it has begun.
        versions: Configuration versions of this and the other daemons.
    """

    placement: PlacementState
    quotas: AccountQuotas
    retries: RetryShares
    table: RoutingTable | None = None
    has_servers: bool = False
    has_evacuations: bool = False
    log_budget: LogBudget = field(factory=LogBudget)
    in_flight: int = 0
    last_request_at: Nanoseconds = 0
    request_count: int = 0
    is_stopping: bool = False
    abort_at: Nanoseconds | None = None
    accepts_until: Nanoseconds | None = None
    versions: VersionState = field(factory=VersionState)

    @property
    def is_loaded(self) -> bool:
        """Return whether all data needed to serve requests is loaded."""
        if self.table is None or not self.has_servers:
            return False
        is_current = self.version >= self.versions.required_version
        return self.has_evacuations and is_current

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.table.configuration.version if self.table else 0


def build_state(settings: EdgeSettings, now: Nanoseconds) -> EdgeState:
    """Return the state of a daemon that has just started."""
    bounds = settings.bounds
    whole_shares = WholeShares()
    placement = PlacementState(
        Place(settings.zone, settings.region),
        settings.regions,
        whole_shares=whole_shares,
        started_at=now,
        policies=settings.policies,
    )
    quotas = AccountQuotas(
        bounds.quota_overshoot,
        bounds.quota_slack,
        ns_to_seconds(bounds.quota_window),
        whole_shares,
        now,
        policies=settings.policies,
    )
    retries = RetryShares(
        bounds.retry_ratio,
        bounds.retry_slack,
        ns_to_seconds(bounds.retry_window),
        whole_shares=whole_shares,
        started_at=now,
    )
    return EdgeState(placement, quotas, retries)


def apply_bounds(state: EdgeState, bounds: OperatorBounds) -> None:
    """Apply changed bounds; the limits must be divided again afterwards."""
    quotas, retries = state.quotas, state.retries
    quotas.overshoot = bounds.quota_overshoot
    quotas.slack = bounds.quota_slack
    quotas.window_s = ns_to_seconds(bounds.quota_window)
    retries.ratio = bounds.retry_ratio
    retries.slack = bounds.retry_slack
    retries.window_s = ns_to_seconds(bounds.retry_window)


def count_demand(state: EdgeState, service: str, now: Nanoseconds) -> None:
    """Count a request that needs a server, for the demand and for retries."""
    count_request(state.placement.demand, service)
    earn_retries(state.retries, service, now)


@define(eq=False)
class RequestProgress:
    """Progress of a request while it is served.

    Attributes:
        request: The routed request; ``None`` until it has been checked.
        ran: Whether it ran, as far as is known.
        may_have_run: Whether an attempt failed without certainty that the
            request did not run.
        was_rejected_partially: Whether a server rejected it without being
            full.
        attempts: Number of servers to which it was sent.
        server: Name of the last chosen server, empty before the first.
        inputs: Values behind a rejection; logged, but not sent to the caller.
    """

    request: RoutedRequest | None = None
    ran: Ran = Ran.NOT_RUN
    may_have_run: bool = False
    was_rejected_partially: bool = False
    attempts: int = 0
    server: str = ''
    inputs: str = ''
