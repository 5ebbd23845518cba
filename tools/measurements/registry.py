"""Registry of the measurements, and their results."""

from collections.abc import Callable
from typing import TypeVar

from attrs import field, frozen


@frozen
class Reading:
    """One measured value.

    Attributes:
        name: Name, unique over all measurements.
        value: Measured value.
        unit: Unit of the value, the baseline and the target.
        baseline: Value of an alternative or an earlier version, with which
            the value is compared. The note names it.
        target: Bound that the value should not exceed, or not fall below.
        is_upper_bound: Whether the target is an upper bound.
        note: Conditions of the measurement.
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
        """Return the ratio of the value to the baseline."""
        return self.value / self.baseline if self.baseline else None

    @property
    def is_met(self) -> bool | None:
        """Return whether the target is met, ``None`` without a target."""
        if self.target is None:
            return None
        if self.is_upper_bound:
            return self.value <= self.target
        return self.value >= self.target


MeasurementFunction = Callable[[], tuple[Reading, ...]]
_Decorated = TypeVar('_Decorated', bound=MeasurementFunction)


@frozen
class Registry:
    """Registry of all measurements.

    Attributes:
        functions: Function of each measurement, by name.
    """

    functions: dict[str, MeasurementFunction] = field(factory=dict)

    def measurement(self, name: str) -> Callable[[_Decorated], _Decorated]:
        """Return a decorator that registers a function as a measurement.

        The decorator raises ``ValueError`` if the name is already registered.

        Args:
            name: Name of the measurement, unique over all modules.
        """

        def register(function: _Decorated) -> _Decorated:
            if name in self.functions:
                raise ValueError(f'measurement {name} is registered twice')
            self.functions[name] = function
            return function

        return register


REGISTRY = Registry()
measurement = REGISTRY.measurement
