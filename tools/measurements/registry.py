"""The list of measurements and the form of their results."""

from collections.abc import Callable
from typing import TypeVar

from attrs import field, frozen


@frozen
class Reading:
    """One measured value.

    Attributes:
        name: Name, unique over all measurements.
        value: The measured value.
        unit: Unit of the value, the baseline and the target.
        baseline: Value of the named alternative or earlier version.
        target: Bound that the value should keep.
        is_upper_bound: Whether the target bounds the value from above.
        note: How it was measured.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    target: float | None = None
    is_upper_bound: bool = True
    note: str = ''

    @property
    def ratio(self) -> float | None:
        """Return the value in relation to the baseline."""
        return self.value / self.baseline if self.baseline else None

    @property
    def is_met(self) -> bool | None:
        """Tell whether the target is kept, ``None`` without a target."""
        if self.target is None:
            return None
        if self.is_upper_bound:
            return self.value <= self.target
        return self.value >= self.target


Measure = Callable[[], tuple[Reading, ...]]
_Decorated = TypeVar('_Decorated', bound=Measure)


@frozen
class Registry:
    """All measurements by name."""

    measures: dict[str, Measure] = field(factory=dict)

    def measurement(self, name: str) -> Callable[[_Decorated], _Decorated]:
        """Register a function as the measurement of that name."""

        def register(measure: _Decorated) -> _Decorated:
            if name in self.measures:
                raise ValueError(f'{name} is registered twice')
            self.measures[name] = measure
            return measure

        return register


REGISTRY = Registry()
measurement = REGISTRY.measurement
