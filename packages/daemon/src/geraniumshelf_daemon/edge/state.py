"""What the decisions about requests work on."""

from attrs import define, field

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.errors import Ran
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.presence.versions import VersionState
from geraniumshelf_core.shares.holding import Holding
from geraniumshelf_core.shares.quotas import Quotas
from geraniumshelf_core.shares.retries import RetryShares
from geraniumshelf_core.site.routing import RoutingTable
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.log_budget import LogBudget
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.edge.settings import EdgeBounds, EdgeSettings


@define(eq=False)
class RelayState:
    """What the decisions about requests work on.

    Attributes:
        placement: Backend servers.
        quotas: Shares of the rates of client accounts.
        retries: Shares of the retry budgets.
        table: Routes and keys, ``None`` before the first configuration.
        has_servers: Whether the backend servers were listed.
        has_evacuations: Whether the evacuated zones were listed.
        log_budget: Budget of log lines.
        in_flight: Requests that run now.
        last_request_at: Time of the last request of a caller.
        request_count: Requests of callers since the start.
        is_stopping: Whether a graceful shutdown has begun.
        versions: Versions of the configuration, here and elsewhere.
    """

    placement: PlacementState
    quotas: Quotas
    retries: RetryShares
    table: RoutingTable | None = None
    has_servers: bool = False
    has_evacuations: bool = False
    log_budget: LogBudget = field(factory=LogBudget)
    in_flight: int = 0
    last_request_at: Nanoseconds = 0
    request_count: int = 0
    is_stopping: bool = False
    versions: VersionState = field(factory=VersionState)

    @property
    def is_loaded(self) -> bool:
        """Return whether all that decides about a request is known."""
        if self.table is None or not self.has_servers:
            return False
        is_current = self.version >= self.versions.required_version
        return self.has_evacuations and is_current

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.table.configuration.version if self.table else 0


def build_state(settings: EdgeSettings, now: Nanoseconds) -> RelayState:
    """Return the state of a daemon that has just started."""
    bounds = settings.bounds
    holding = Holding()
    placement = PlacementState(
        Place(settings.zone, settings.region),
        settings.regions,
        holding=holding,
    )
    quotas = Quotas(
        bounds.quota_overshoot,
        bounds.quota_slack,
        ns_to_seconds(bounds.quota_window),
        holding,
        now,
    )
    retries = RetryShares(
        bounds.retry_ratio,
        bounds.retry_slack,
        ns_to_seconds(bounds.retry_window),
        holding=holding,
    )
    return RelayState(placement, quotas, retries)


def apply_bounds(state: RelayState, bounds: EdgeBounds) -> None:
    """Take over changed bounds; the limits have to be divided anew."""
    quotas, retries = state.quotas, state.retries
    quotas.overshoot = bounds.quota_overshoot
    quotas.slack = bounds.quota_slack
    quotas.window_s = ns_to_seconds(bounds.quota_window)
    retries.ratio = bounds.retry_ratio
    retries.slack = bounds.retry_slack
    retries.window_s = ns_to_seconds(bounds.retry_window)


@define(eq=False)
class RequestProgress:
    """What is known of a request while it is served.

    Attributes:
        order: What it asks; ``None`` until it was checked.
        ran: Whether it ran, as far as is known now.
        may_have_run: Whether an attempt ended without saying that it did not
            run.
        attempts: Servers that it was sent to.
        server: The last server that was chosen.
        inputs: What decided a rejection; for the log, not for the caller.
    """

    order: RoutedRequest | None = None
    ran: Ran = Ran.NOT_RUN
    may_have_run: bool = False
    attempts: int = 0
    server: str = ''
    inputs: str = ''
