"""Chooses backend servers for requests, or refuses the requests."""

from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.admission.verdict import (
    Admitted,
    Rejected,
    decide_admission,
)
from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.cold_starts import is_send_allowed
from geraniumshelf_core.placement.commands import record_need
from geraniumshelf_core.placement.ejections import eject_if_silent
from geraniumshelf_core.placement.estimates import typical_work
from geraniumshelf_core.placement.limited_servers import use_permit
from geraniumshelf_core.placement.queries import (
    choose_server,
    is_crowded,
    is_still_eligible,
    time_until_available,
)
from geraniumshelf_core.placement.state import Candidate, PlacementRequest
from geraniumshelf_core.shares.quotas import (
    describe_share,
    take_token,
    time_to_admission,
)
from geraniumshelf_core.shares.retries import can_spend_retry, spend_retry
from geraniumshelf_core.site.model import Repeatability
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.grace import fits_in_grace, make_stop_refusal
from geraniumshelf_daemon.edge.rejections import rejection_delay_s
from geraniumshelf_daemon.edge.routed_request import (
    RoutedRequest,
    make_placement_request,
)
from geraniumshelf_daemon.edge.state import EdgeState, RequestProgress
from geraniumshelf_daemon.upstream.progress import AttemptFailed

# A server that does not respond within this multiple of the typical work time
# counts as silent.
_SILENCE_FACTOR: Final = 2
_MIN_SILENCE_MS: Final = 300
_MIN_SILENCE_NS: Final[Nanoseconds] = _MIN_SILENCE_MS * MILLISECOND_NS
# Another server responds within this multiple of its expected latency.
_RETRY_FACTOR: Final = 1.5
_MIN_RETRY_AFTER_S: Final = 0.05
# A connection opens or fails in less time. If more has passed since a server
# was chosen, the daemon was suspended and the token bucket has refilled.
_TOKEN_LIFETIME_NS: Final[Nanoseconds] = SECOND_NS


class ServerSelector:
    """Applies rate limits, placement, admission control and retry budgets."""

    def __init__(
        self,
        state: EdgeState,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._state = state
        self._clock = clock
        self._random = random

    def make_rate_refusal(
        self,
        request: RoutedRequest,
        progress: RequestProgress,
        wait: Nanoseconds,
    ) -> RequestRefused:
        """Return the refusal of a request whose client account has no token.

        Args:
            request: The request.
            progress: Progress of the request; its inputs are set.
            wait: Time until the account has a token again.
        """
        state = self._state
        progress.inputs = describe_share(
            state.quotas, request.account_name, self._clock()
        )
        if not state.quotas.policies.orders_tokens:
            # All callers of the account are told the same time.
            wait = round(wait * (1 + self._random.random()))
        return RequestRefused(
            ResultCode.RATE_EXCEEDED,
            f'{request.account_name} has exceeded its rate limit',
            retry_after_s=_rounded_s(wait),
        )

    def select(
        self,
        request: RoutedRequest,
        query: PlacementRequest,
        progress: RequestProgress,
    ) -> Candidate:
        """Return the server for a request.

        Args:
            request: The request.
            query: What a server is selected for.
            progress: Progress of the request; its inputs are set on rejection.

        Raises:
            RequestRefused: ``OVERLOADED`` or ``NO_BACKEND_SERVER`` if no server
                can respond in time.
        """
        now = self._clock()
        placement = self._state.placement
        record_need(placement, query, now)
        choice = choose_server(placement, query, now)
        verdict = decide_admission(
            choice,
            request.arrived_at + request.route.target_latency - now,
            request.deadline - now,
            self._random.random(),
            None if choice else time_until_available(placement, query, now),
            placement.policies,
            is_crowded=choice is not None
            and is_crowded(placement, request.service, choice.view.region, now),
        )
        match verdict:
            case Admitted(admitted):
                if not fits_in_grace(self._state, admitted, now):
                    raise make_stop_refusal(progress)
                return admitted
            case Rejected(retry_after):
                progress.inputs = _describe(choice, request.deadline - now, now)
                raise RequestRefused(
                    ResultCode.OVERLOADED
                    if choice
                    else ResultCode.NO_BACKEND_SERVER,
                    f'no server of {request.service} can respond in time',
                    ran=progress.ran,
                    retry_after_s=rejection_delay_s(progress, self._random)
                    or _rounded_s(retry_after),
                )

    def confirm(
        self,
        request: RoutedRequest,
        choice: Candidate,
        progress: RequestProgress,
        chosen_at: Nanoseconds,
    ) -> None:
        """Check that a request may still be sent to the chosen server.

        Opening a connection takes time, and the daemon may have been suspended
        since the choice. No other task runs between this check and the sending.

        Raises:
            AttemptFailed: ``NO_BACKEND_SERVER`` if the server may receive no
                more requests.
            RequestRefused: ``RATE_EXCEEDED`` if the token has expired and the
                account has no other.
        """
        now = self._clock()
        placement = self._state.placement
        if not is_still_eligible(placement, choice.view, now):
            raise _ineligible_server(choice, 'may receive no more requests')
        if not is_send_allowed(placement, choice.view, now):
            raise _ineligible_server(
                choice, 'may be cold and receive no request now'
            )
        if not use_permit(choice.view, now):
            raise _ineligible_server(
                choice, 'has named a limit and there is no permit for it now'
            )
        if progress.attempts or now - chosen_at <= _TOKEN_LIFETIME_NS:
            return
        if not take_token(self._state.quotas, request.account_name, now):
            wait = time_to_admission(self._state.quotas, request.account_name)
            raise self.make_rate_refusal(request, progress, wait)

    def cap_wait(
        self,
        request: RoutedRequest,
        choice: Candidate,
        sent_at: Nanoseconds,
        progress: RequestProgress,
    ) -> Callable[[], float | None]:
        """Return a callback that caps the wait for a response.

        The callback returns the seconds to wait until its next call, or
        ``None`` to give up the attempt. It may eject a silent server.
        """
        placement = self._state.placement
        typical = typical_work(placement, request.service).cold
        # A server that has reported that it is slow is not silent.
        typical *= max(1, choice.speed)
        silence_limit = max(
            _MIN_SILENCE_NS,
            choice.expected_wait + round(typical * _SILENCE_FACTOR),
            request.route.target_latency,
        )

        def next_wait_s() -> float | None:
            now = self._clock()
            if now < sent_at + silence_limit:
                return ns_to_seconds(sent_at + silence_limit - now)
            eject_if_silent(placement, choice.view, sent_at, now)
            if self._should_abandon(request, choice, progress, now):
                return None
            return ns_to_seconds(silence_limit)

        return next_wait_s

    def _should_abandon(
        self,
        request: RoutedRequest,
        choice: Candidate,
        progress: RequestProgress,
        now: Nanoseconds,
    ) -> bool:
        """Return whether to give up on a silent server.

        The work of an abandoned attempt is lost, so this requires another idle
        server that would respond in time, and a retry within the budget.
        """
        if (
            request.route.repeatability is not Repeatability.IDEMPOTENT
            or progress.attempts >= request.route.max_attempts
            or self._state.is_stopping
            or not can_spend_retry(self._state.retries, request.service, now)
        ):
            return False
        alternative = choose_server(
            self._state.placement,
            make_placement_request(
                request, frozenset((choice.view.server.name,))
            ),
            now,
        )
        time_left = request.deadline - now
        return (
            alternative is not None
            and alternative.expected_wait == 0
            and alternative.expected_latency * _RETRY_FACTOR < time_left
        )

    def try_spend_retry(
        self,
        request: RoutedRequest,
        progress: RequestProgress,
        failure: AttemptFailed,
        now: Nanoseconds,
    ) -> bool:
        """Spend a retry if one is allowed; return whether it is.

        A request that reached no server needs no retry budget.
        """
        is_safe = (
            failure.ran is Ran.NOT_RUN
            or request.route.repeatability is Repeatability.IDEMPOTENT
        )
        if not is_safe or progress.attempts >= request.route.max_attempts:
            return False
        return not progress.attempts or spend_retry(
            self._state.retries, request.service, now
        )


def _ineligible_server(choice: Candidate, reason: str) -> AttemptFailed:
    return AttemptFailed(
        ResultCode.NO_BACKEND_SERVER,
        f'{choice.view.server.name} {reason}',
        Ran.NOT_RUN,
        is_server_failure=False,
    )


def _describe(
    choice: Candidate | None, time_left: Nanoseconds, now: Nanoseconds
) -> str:
    if choice is None:
        return 'no server may take it'
    view = choice.view
    reported = view.reported_at
    age = 'none' if reported is None else (now - reported) // MILLISECOND_NS
    return (
        f'{view.server.name} wait {choice.expected_wait // MILLISECOND_NS} ms'
        f' work {choice.expected_work // MILLISECOND_NS} ms'
        f' own {view.in_flight} others {view.other_requests}'
        f' slots {view.server.slots} report age {age} ms'
        f' left {time_left // MILLISECOND_NS} ms'
    )


def _rounded_s(wait: Nanoseconds) -> float:
    return round(max(ns_to_seconds(wait), _MIN_RETRY_AFTER_S), 3)
