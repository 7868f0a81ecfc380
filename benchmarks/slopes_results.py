"""Input sizes, least-squares fits and results of ``benchmarks/slopes.py``."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Sizes:
    """The sizes at which each cost is measured."""

    repetitions: int = 3
    settle: float = 0.5  # seconds between the last event and the reading of CPU time or memory
    connections: tuple[int, ...] = (200, 600, 1_200, 2_000)
    timers: float = 2.2  # seconds in which the timers of a set-up fire, so that its cost includes them
    idle_seconds: float = 1.5
    lines: tuple[int, ...] = (2_000, 4_000, 8_000)  # in parallel on many connections
    lines_alone: tuple[int, ...] = (500, 1_000, 2_000)  # sequentially on one connection
    set_ups: tuple[int, ...] = (200, 400, 800)
    fleet: tuple[int, ...] = (20, 40, 80, 160, 490)
    fleet_settle: float = 10.0  # seconds of virtual time from the start until complete tables are sent
    fleet_seconds: float = 8.0  # seconds of virtual time that are measured: two heartbeat intervals
    rate_multiples: tuple[int, ...] = (1, 2, 4)  # of ``fleet.CONNECTIONS_PER_S``
    servers: tuple[int, ...] = (10, 100, 1_000, 2_000, 5_000)
    placements: int = 40
    groups: tuple[int, ...] = (1_000, 2_000, 4_000)
    datagrams: tuple[int, ...] = (2_000, 4_000, 8_000)


QUICK = Sizes(
    settle=0.1,
    timers=0.1,
    connections=(50, 100, 200),
    idle_seconds=0.2,
    lines=(300, 600, 900),
    lines_alone=(100, 200, 300),
    set_ups=(40, 80, 160),
    fleet=(8, 16, 24),
    fleet_settle=4.0,
    fleet_seconds=4.0,
    rate_multiples=(1, 2, 3),
    servers=(10, 100, 1_000),
    placements=20,
    groups=(500, 1_000, 2_000),
    datagrams=(500, 1_000, 2_000),
)


@dataclass
class Slope:
    """The measured values of one cost at each size; ``values`` has one row per repetition."""

    unit: str
    per: str
    sizes: tuple[int, ...]
    values: list[list[float]] = field(default_factory=list)

    def fits(self) -> list[tuple[float, float]]:
        """Return the intercept and the slope of each repetition."""
        return [least_squares(self.sizes, row) for row in self.values]

    def summary(self) -> tuple[float, float, float]:
        """Return the median, the lowest and the highest slope of the repetitions."""
        slopes = [slope for _, slope in self.fits()]
        return statistics.median(slopes), min(slopes), max(slopes)


def least_squares(xs: tuple[int, ...], ys: list[float]) -> tuple[float, float]:
    line = statistics.linear_regression(xs, ys)
    return line.intercept, line.slope


class Results:
    """All slopes by name; each call of ``add`` appends one repetition."""

    def __init__(self) -> None:
        self.slopes: dict[str, Slope] = {}

    def add(self, name: str, unit: str, per: str, sizes: tuple[int, ...], values: list[float]) -> None:
        self.slopes.setdefault(name, Slope(unit, per, sizes)).values.append(values)

    def flat(self) -> dict[str, float]:
        """Return the JSON keys and values: the median slope and its bounds, to four significant digits."""
        flat: dict[str, float] = {}
        for name, slope in self.slopes.items():
            median, low, high = slope.summary()
            for suffix, value in (("", median), ("_low", low), ("_high", high)):
                flat[f"{name}_{slope.unit}_per_{slope.per}{suffix}"] = float(f"{value:.4g}")
        return flat
