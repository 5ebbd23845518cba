"""Statistics of the outcomes of requests in a simulation."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Any, Final

import numpy as np
from attrs import define, field

ON_TIME: Final = 'on_time'
LATE: Final = 'late'
REFUSED: Final = 'refused'
FAILED: Final = 'failed'
LEFT: Final = 'left'
OUTCOMES: Final = (ON_TIME, LATE, REFUSED, FAILED, LEFT)
WINDOW_S: Final = 2
_QUANTILES: Final = (0.5, 0.9, 0.99)


@define(eq=False)
class OutcomeStatistics:
    """Statistics of the requests of all callers.

    Attributes:
        outcome_counts: Number of requests by grouping, group and outcome.
        run_counts: Number of runs by window of ``WINDOW_S``: warm ones, cold
            ones, and those that ended when no caller waited any more.
        earned_credit: Credit earned, by window.
        due_credit: Credit that answers on time would have earned, by window.
        latencies_ms: Latencies of the answers, milliseconds.
        event_counts: Number of rejections, retries and repeated attempts.
    """

    outcome_counts: dict[tuple[str, str], Counter[str]] = field(
        factory=lambda: defaultdict(Counter)
    )
    run_counts: dict[int, Counter[str]] = field(
        factory=lambda: defaultdict(Counter)
    )
    earned_credit: Counter[int] = field(factory=Counter)
    due_credit: Counter[int] = field(factory=Counter)
    latencies_ms: list[float] = field(factory=list)
    event_counts: Counter[str] = field(factory=Counter)

    def record_request(
        self,
        started_at: float,
        groups: Mapping[str, str],
        outcome: str,
        worth: float,
        earned_credit: float,
    ) -> None:
        """Record the end of a caller's request.

        Args:
            started_at: Time of the first attempt, seconds.
            groups: Kind and zone of the request.
            outcome: One of ``OUTCOMES``.
            worth: Credit for an answer on time.
            earned_credit: Credit that the request earned.
        """
        window = int(started_at // WINDOW_S) * WINDOW_S
        self.outcome_counts['all', ''][outcome] += 1
        self.outcome_counts['window', str(window)][outcome] += 1
        for grouping, group in groups.items():
            self.outcome_counts[grouping, group][outcome] += 1
        if outcome != LEFT:
            self.due_credit[window] += worth
            self.earned_credit[window] += earned_credit

    def record_run(
        self, now: float, *, is_warm: bool, is_awaited: bool
    ) -> None:
        """Record the end of a run on a backend server.

        Args:
            now: Current time, seconds.
            is_warm: Whether the object was warm.
            is_awaited: Whether the caller still waits for the answer.
        """
        window = int(now // WINDOW_S) * WINDOW_S
        self.run_counts[window]['warm' if is_warm else 'cold'] += 1
        if not is_awaited:
            self.run_counts[window]['for_nothing'] += 1

    def summarize(self, utilization: Mapping[str, float]) -> dict[str, Any]:
        """Return the results as data that can be written as JSON.

        Args:
            utilization: Utilization of the slots, by server.
        """
        tables: dict[str, dict[str, dict[str, float]]] = defaultdict(dict)
        for (grouping, group), counter in self.outcome_counts.items():
            tables[grouping][group] = _outcome_fractions(counter)
        windows = sorted(self.due_credit)
        loads = list(utilization.values()) or [0]
        return {
            'credit': _ratio(
                sum(self.earned_credit.values()), sum(self.due_credit.values())
            ),
            'worst_windows': _mean_of_worst_windows(
                self.earned_credit, self.due_credit
            ),
            'tables': dict(tables),
            'curve': {
                str(window): _ratio(
                    self.earned_credit[window], self.due_credit[window]
                )
                for window in windows
            },
            'runs': {
                str(at): dict(self.run_counts[at])
                for at in sorted(self.run_counts)
            },
            'counts': dict(self.event_counts),
            'busy': {'mean': float(np.mean(loads)), 'most': max(loads)},
            'times_ms': {
                str(quantile): float(np.quantile(self.latencies_ms, quantile))
                for quantile in _QUANTILES
                if self.latencies_ms
            },
        }


def _outcome_fractions(counter: Counter[str]) -> dict[str, float]:
    request_count = sum(counter.values())
    fractions = {
        name: _ratio(counter[name], request_count) for name in OUTCOMES
    }
    return {'asked': float(request_count), **fractions}


def _mean_of_worst_windows(
    earned_credit: Counter[int], due_credit: Counter[int]
) -> float:
    """Return the mean of the two worst windows."""
    fractions = sorted(
        _ratio(earned_credit[window], due_credit[window])
        for window in due_credit
        if due_credit[window]
    )
    return float(np.mean(fractions[:2])) if fractions else 0


def _ratio(numerator: float, denominator: float) -> float:
    return numerator / denominator if denominator else 0
