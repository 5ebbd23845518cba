"""What the decisions about requests work on."""

from attrs import define, field

from geraniumshelf_core.errors import Ran
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.shares.quotas import Quotas
from geraniumshelf_core.shares.retries import RetryShares
from geraniumshelf_core.site.routing import RoutingTable
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.budget import LineBudget
from geraniumshelf_daemon.edge.order import Order


@define(eq=False)
class RelayState:
    """What the decisions about requests work on.

    Attributes:
        placement: Backend servers.
        quotas: Shares of the rates of client accounts.
        retries: Shares of the retry budgets.
        table: Routes and keys, ``None`` before the first configuration.
        lines: Budget of log lines.
        running: Requests that run now.
        asked_at: Time of the last request of a caller.
        is_stopping: Whether a graceful shutdown has begun.
    """

    placement: PlacementState
    quotas: Quotas
    retries: RetryShares
    table: RoutingTable | None = None
    lines: LineBudget = field(factory=LineBudget)
    running: int = 0
    asked_at: Nanoseconds = 0
    is_stopping: bool = False


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

    order: Order | None = None
    ran: Ran = Ran.NOT_RUN
    may_have_run: bool = False
    attempts: int = 0
    server: str = ''
    inputs: str = ''
