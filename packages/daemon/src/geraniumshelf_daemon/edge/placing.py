"""Decides where a request goes, with what this daemon knows now."""

from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.admission.verdict import (
    Admitted,
    Rejected,
    decide_admission,
)
from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.commands import (
    count_cold_send,
    eject_if_silent,
)
from geraniumshelf_core.placement.queries import (
    choose_server,
    has_cold_capacity,
    is_cold,
    is_crowded,
    is_still_eligible,
    time_until_available,
    typical_work,
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
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.edge.state import RelayState, RequestProgress
from geraniumshelf_daemon.upstream.progress import AttemptFailed

# Without an answer for this many times the usual work a server is suspected.
_SILENCE_RATIO: Final = 2
_LEAST_SILENCE_MS: Final = 300
_LEAST_SILENCE_NS: Final[Nanoseconds] = _LEAST_SILENCE_MS * MILLISECOND_NS
# An answer from another server takes up to this many times the expected time.
_REPEAT_RATIO: Final = 1.5
_LEAST_WAIT_S: Final = 0.05
# A daemon that sends later than this after its choice was suspended, and the
# bucket of the token has filled again meanwhile. A connection opens, or fails,
# in less time.
_TOKEN_LIFE_NS: Final[Nanoseconds] = SECOND_NS
# A cold server counts a request in the second in which it arrives; a
# connection opens in less time than this.
_COLD_DELAY_MS: Final = 400
_COLD_DELAY_NS: Final[Nanoseconds] = _COLD_DELAY_MS * MILLISECOND_NS


class Placer:
    """Applies quotas, placement, admission and the retry budget."""

    def __init__(
        self,
        state: RelayState,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._state = state
        self._clock = clock
        self._random = random

    def refuse_over_quota(
        self, order: RoutedRequest, progress: RequestProgress, wait: Nanoseconds
    ) -> RequestRefused:
        """Return the refusal of a request whose account has no token.

        Args:
            order: The request.
            progress: What is known of the request; takes the inputs.
            wait: Time until the account has a token again.
        """
        quotas = self._state.quotas
        progress.inputs = describe_share(
            quotas, order.account_name, self._clock()
        )
        return RequestRefused(
            ResultCode.RATE_EXCEEDED,
            f'{order.account_name} has used its rate',
            retry_after_s=_rounded_s(round(wait * (1 + self._random.random()))),
        )

    def place(
        self,
        order: RoutedRequest,
        excluded: frozenset[str],
        progress: RequestProgress,
    ) -> Candidate:
        """Return the server for a request.

        Args:
            order: The request.
            excluded: Names of servers that have had it already.
            progress: What is known of the request; takes the inputs of a
                rejection.

        Raises:
            RequestRefused: ``OVERLOADED`` or ``NO_BACKEND_SERVER`` if it
                can't be served in time.
        """
        now = self._clock()
        wish = PlacementRequest(
            order.service, order.object_name, order.regions, excluded
        )
        placement = self._state.placement
        choice = choose_server(placement, wish, now)
        verdict = decide_admission(
            choice,
            order.arrived + order.route.target_latency - now,
            order.deadline - now,
            self._random.random(),
            None if choice else time_until_available(placement, wish, now),
            placement.policies,
            is_crowded=choice is not None
            and is_crowded(placement, order.service, choice.view.region, now),
        )
        match verdict:
            case Admitted(admitted):
                return admitted
            case Rejected(retry_after):
                progress.inputs = _describe(choice, order.deadline - now, now)
                raise RequestRefused(
                    ResultCode.OVERLOADED
                    if choice
                    else ResultCode.NO_BACKEND_SERVER,
                    f'{order.service} cannot answer in time',
                    ran=progress.ran,
                    retry_after_s=_rounded_s(retry_after),
                )

    def confirm(
        self,
        order: RoutedRequest,
        choice: Candidate,
        progress: RequestProgress,
        chosen_at: Nanoseconds,
    ) -> None:
        """Check that a request may still be sent to the chosen server.

        Opening a connection takes time, and the daemon may have been
        suspended since it chose; no other task runs between this check and
        the sending.

        Args:
            order: The request.
            choice: The server.
            progress: What is known of the request.
            chosen_at: Time at which the server was chosen.

        Raises:
            AttemptFailed: ``NO_BACKEND_SERVER`` if the server may get no
                request any more.
            RequestRefused: ``RATE_EXCEEDED`` if the token is too old, and
                there is no other.
        """
        now = self._clock()
        placement = self._state.placement
        if not is_still_eligible(placement, choice.view, now):
            raise _withdrawn(choice, 'may get no more requests')
        if now - chosen_at > _COLD_DELAY_NS:
            if is_cold(choice.view, now) and not has_cold_capacity(
                placement, choice.view, now
            ):
                raise _withdrawn(choice, 'is cold')
            count_cold_send(choice.view, now)
        if progress.attempts or now - chosen_at <= _TOKEN_LIFE_NS:
            return
        if not take_token(self._state.quotas, order.account_name, now):
            wait = time_to_admission(self._state.quotas, order.account_name)
            raise self.refuse_over_quota(order, progress, wait)

    def watch_silence(
        self,
        order: RoutedRequest,
        choice: Candidate,
        sent: Nanoseconds,
        progress: RequestProgress,
    ) -> Callable[[], float | None]:
        """Return what tells how long to wait for an answer.

        Args:
            order: The request.
            choice: The server that it was sent to.
            sent: Time at which it was sent.
            progress: What is known of the request.
        """
        placement = self._state.placement
        usual = typical_work(placement, order.service).cold
        patience = max(
            _LEAST_SILENCE_NS,
            choice.expected_wait + round(usual * _SILENCE_RATIO),
            order.route.target_latency,
        )

        def wait_on() -> float | None:
            now = self._clock()
            if now < sent + patience:
                return ns_to_seconds(sent + patience - now)
            eject_if_silent(placement, choice.view, sent, now)
            if self._is_better_elsewhere(order, choice, progress, now):
                return None
            return ns_to_seconds(patience)

        return wait_on

    def _is_better_elsewhere(
        self,
        order: RoutedRequest,
        choice: Candidate,
        progress: RequestProgress,
        now: Nanoseconds,
    ) -> bool:
        """Tell whether a silent server is given up.

        Work that is given up is lost, so this needs a free server that would
        answer in time, and a repeat that the budget allows.
        """
        if (
            order.route.repeatability is not Repeatability.IDEMPOTENT
            or progress.attempts >= order.route.max_attempts
            or self._state.is_stopping
            or not can_spend_retry(self._state.retries, order.service, now)
        ):
            return False
        other = choose_server(
            self._state.placement,
            PlacementRequest(
                order.service,
                order.object_name,
                order.regions,
                frozenset((choice.view.server.name,)),
            ),
            now,
        )
        left = order.deadline - now
        return (
            other is not None
            and other.expected_wait == 0
            and other.expected_latency * _REPEAT_RATIO < left
        )

    def may_repeat(
        self,
        order: RoutedRequest,
        progress: RequestProgress,
        failure: AttemptFailed,
        now: Nanoseconds,
    ) -> bool:
        """Take a repeat out of the budget if one is allowed.

        A request that reached no server needs no budget.
        """
        is_safe = (
            failure.ran is Ran.NOT_RUN
            or order.route.repeatability is Repeatability.IDEMPOTENT
        )
        if not is_safe or progress.attempts >= order.route.max_attempts:
            return False
        return not progress.attempts or spend_retry(
            self._state.retries, order.service, now
        )


def _withdrawn(choice: Candidate, reason: str) -> AttemptFailed:
    return AttemptFailed(
        ResultCode.NO_BACKEND_SERVER,
        f'{choice.view.server.name} {reason}',
        Ran.NOT_RUN,
        is_failure=False,
    )


def _describe(
    choice: Candidate | None, left: Nanoseconds, now: Nanoseconds
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
        f' left {left // MILLISECOND_NS} ms'
    )


def _rounded_s(wait: Nanoseconds) -> float:
    return round(max(ns_to_seconds(wait), _LEAST_WAIT_S), 3)
