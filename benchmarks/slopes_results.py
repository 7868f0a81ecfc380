"""Sizes, fits and results of ``benchmarks/slopes.py``."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Sizes:
    """At which sizes each cost is measured."""

    repetitions: int = 3
    settle: float = 0.5  # s between the last event and the look at CPU or memory
    connections: tuple[int, ...] = (200, 600, 1_200, 2_000)
    timers: float = 2.2  # s until the timers of a set-up have ended, so that they are counted with it
    idle_seconds: float = 1.5
    lines: tuple[int, ...] = (2_000, 4_000, 8_000)  # on many connections at once
    lines_alone: tuple[int, ...] = (500, 1_000, 2_000)  # on one connection, one after another
    set_ups: tuple[int, ...] = (200, 400, 800)
    fleet: tuple[int, ...] = (20, 40, 80, 160, 490)
    fleet_settle: float = 10.0  # s of virtual time from the fleet's start, until whole tables are sent
    fleet_seconds: float = 8.0  # s of virtual time that are measured: two of the fleet's heartbeats
    crowds: tuple[int, ...] = (1, 2, 4)  # times the new connections of ``fleet.ARRIVALS``
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
    crowds=(1, 2, 3),
    servers=(10, 100, 1_000),
    placements=20,
    groups=(500, 1_000, 2_000),
    datagrams=(500, 1_000, 2_000),
)


@dataclass
class Slope:
    """One cost by size. ``values`` has a row for each repetition."""

    unit: str
    per: str
    sizes: tuple[int, ...]
    values: list[list[float]] = field(default_factory=list)

    def fits(self) -> list[tuple[float, float]]:
        """Intercept and slope of each repetition."""
        return [least_squares(self.sizes, row) for row in self.values]

    def summary(self) -> tuple[float, float, float]:
        """The slope's middle, lowest and highest."""
        slopes = [slope for _, slope in self.fits()]
        return statistics.median(slopes), min(slopes), max(slopes)


def least_squares(xs: tuple[int, ...], ys: list[float]) -> tuple[float, float]:
    found = statistics.linear_regression(xs, ys)
    return found.intercept, found.slope


class Results:
    """All slopes by name, filled one repetition after another."""

    def __init__(self) -> None:
        self.slopes: dict[str, Slope] = {}

    def add(self, name: str, unit: str, per: str, sizes: tuple[int, ...], values: list[float]) -> None:
        self.slopes.setdefault(name, Slope(unit, per, sizes)).values.append(values)

    def flat(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for name, slope in self.slopes.items():
            middle, low, high = slope.summary()
            for suffix, value in (("", middle), ("_low", low), ("_high", high)):
                found[f"{name}_{slope.unit}_per_{slope.per}{suffix}"] = float(f"{value:.4g}")
        return found
