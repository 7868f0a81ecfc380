"""The figures of one run, judged by the records of the receivers."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar, cast

from saltcourse.emulator.scale.history import History, Interval, Steps
from saltcourse.emulator.scale.records import (
    CONTROL_PROCESS,
    DEAD_OR_LEFT,
    ConfigurationSeen,
    Confirmed,
    FreshnessSeen,
    Handed,
    Lifecycle,
    Load,
    ProcessSample,
    Record,
    StatusSeen,
    View,
    WorkerUsage,
)
from saltcourse.emulator.scale.safety import Breach, find_breaches
from saltcourse.emulator.scale.summary import Spread, spread, window_means
from saltcourse.emulator.scale.timeline import Duty, PhaseSpan, Timeline
from saltcourse.emulator.scale.topology import Place, Topology
from saltcourse.gossip.messages import Role, Status

WINDOW = 10  # s over which bytes and CPU are averaged
CHANGE_PATIENCE = 10.0  # s in which a member that does not get a change has to stay undisturbed to count
FAILURE_PATIENCE = 60.0  # s that a member may take to hold a killed one for dead
JOIN_PATIENCE = 20.0  # s that a new process may take to the newest configuration
JUST_AFTER = 0.001  # s after a start
STALE_PATIENCE = 20.0  # s of a cut in which those on the smaller side have to say that they may lack news
LEAST_DOWN = 10.0  # s that a killed member has to stay away, for its failure to be worth knowing
ZONE_CHECK = 1.0  # s after a kill at which its whole zone is looked at
GRACE = 30.0  # s after a disturbance in which a suspicion is no false one
AGREEMENT_STEP = 0.25  # s
Kind = TypeVar("Kind")
OVERLOAD_LAG = 0.1  # s; where events are handled later than this, the machine was too small for the run


@dataclass(frozen=True, slots=True)
class CostSpread:
    """Of windows of ``WINDOW`` seconds: over members and time."""

    bytes_per_s: Spread
    cpu_share: Spread


@dataclass(frozen=True, slots=True)
class PhaseCost:
    """The worst window of any proxy."""

    name: str
    bytes_per_s: float
    cpu_share: float


@dataclass(frozen=True, slots=True)
class Propagation:
    """Seconds until something was known, over each member that had to know it; those that never did, and
    events (changes or failures) themselves."""

    seconds: Spread | None
    missing: int
    events: int


@dataclass(frozen=True, slots=True)
class CutAgreement:
    """Seconds from the end of a cut until all live members agreed; None: not in the time that was watched."""

    members: float | None
    configuration: float | None
    watched: float

    @property
    def both(self) -> float | None:
        if self.members is None or self.configuration is None:
            return None
        return max(self.members, self.configuration)


@dataclass(frozen=True, slots=True)
class RealCost:
    """Of the real processes in the first ordinary phase, the highest of any: CPU as a share of a core,
    memory in MB. The cost of gossip is the difference to the process that runs without it."""

    processes: int
    bytes_per_s: float  # the worst window of the ordinary phases
    cpu_share: float
    cpu_share_without: float
    memory_mb: float
    memory_mb_without: float


@dataclass(frozen=True, slots=True)
class Figures:
    """Everything that a run of one size gave. ``control`` are the control members' costs."""

    mechanism: str
    size: int
    seed: int
    proxies: CostSpread | None
    control: CostSpread | None
    phases: tuple[PhaseCost, ...]
    memory_mb: float  # of one member: the mean of the worker where it is highest
    change: Propagation
    change_by_phase: Mapping[str, Propagation]
    changes_confirmed: int
    changes_lost: int  # handed over, in force nowhere and not confirmed
    failure: Propagation
    failure_everywhere: Spread | None  # s until the last member knew, over the failures that all came to know
    joining: Propagation  # from a restart to what was the newest version then
    staleness: Propagation  # from the begin of a cut until those on the smaller side say so
    false_suspicions: int
    false_deaths: int
    cuts: tuple[CutAgreement, ...]
    breaches: tuple[Breach, ...]
    workers_cpu_per_member: float  # of a core, the harness included
    lag_p99: float
    lag_max: float
    dropped: int
    real: RealCost | None

    @property
    def overloaded(self) -> bool:
        return self.lag_p99 > OVERLOAD_LAG


def judge(
    mechanism: str, seed: int, topology: Topology, timeline: Timeline, records: Iterable[Record]
) -> Figures:
    return _Judge(topology, timeline, list(records)).figures(mechanism, seed)


class _Judge:
    def __init__(self, topology: Topology, timeline: Timeline, records: list[Record]) -> None:
        self._topology = topology
        self._timeline = timeline
        self._records = records
        self._by_kind: dict[type[Record], list[Record]] = {}
        for record in records:
            self._by_kind.setdefault(type(record), []).append(record)
        for of_kind in self._by_kind.values():
            of_kind.sort(key=lambda record: getattr(record, "at", 0.0))
        self._end = timeline.end
        self._history = History(topology, self._of(Lifecycle))
        self._handed: dict[int, Handed] = {}
        for handed in self._of(Handed):
            self._handed.setdefault(handed.change, handed)
        self._applied = self._first_applied()

    def _of(self, kind: type[Kind]) -> list[Kind]:
        """Those of one kind, in the order of their time where they have one."""
        return cast(list[Kind], self._by_kind.get(cast(type[Record], kind), []))

    def figures(self, mechanism: str, seed: int) -> Figures:
        usage = self._of(WorkerUsage)
        proxies = list(self._topology.proxies)
        control = [place for place in self._topology.places if place.role is Role.CONTROL]
        timed = (Duty.CHANGE.value, Duty.LOSE_PUBLISHER.value)
        counted = [change for change, handed in self._handed.items() if handed.duty in timed]
        confirmed = {record.change for record in self._of(Confirmed)}
        failures, everywhere = self._failures()
        suspicions, deaths = self._false_statuses()
        return Figures(
            mechanism=mechanism,
            size=len(self._topology.proxies),
            seed=seed,
            proxies=self._cost(proxies),
            control=self._cost(control),
            phases=self._phase_costs(proxies),
            memory_mb=max((memory_per_member(u) for u in usage), default=0.0) / 1e6,
            change=self._propagation(counted),
            change_by_phase=self._propagation_by_phase(counted),
            changes_confirmed=len(confirmed),
            changes_lost=sum(c not in confirmed and c not in self._applied for c in counted),
            failure=failures,
            failure_everywhere=everywhere,
            joining=self._joining(),
            staleness=self._staleness(),
            false_suspicions=suspicions,
            false_deaths=deaths,
            cuts=tuple(self._agreement(cut) for cut in self._history.cuts if cut.end < math.inf),
            breaches=tuple(find_breaches(self._records)),
            workers_cpu_per_member=sum(u.cpu for u in usage)
            / self._end
            / max(1, sum(u.members for u in usage)),
            lag_p99=max((u.lag_p99 for u in usage), default=0.0),
            lag_max=max((u.lag_max for u in usage), default=0.0),
            dropped=sum(u.dropped for u in usage),
            real=self._real_cost(),
        )

    # ---- costs ---------------------------------------------------------------------------------------

    def _loads(self, span: PhaseSpan, places: list[Place]) -> dict[int, list[Load]]:
        wanted = {place.index for place in places}
        found: dict[int, list[Load]] = {}
        for load in self._of(Load):
            if load.member in wanted and span.begin < load.at <= span.end:
                found.setdefault(load.member, []).append(load)
        return found

    def _cost(self, places: list[Place]) -> CostSpread | None:
        """Over the ordinary phases."""
        sizes: list[float] = []
        shares: list[float] = []
        for span in self._timeline.spans:
            if span.ordinary:
                for loads in self._loads(span, places).values():
                    sizes += window_means([float(load.sent + load.received) for load in loads], WINDOW)
                    shares += window_means([load.cpu for load in loads], WINDOW)
        bytes_per_s, cpu_share = spread(sizes), spread(shares)
        if bytes_per_s is None or cpu_share is None:
            return None
        return CostSpread(bytes_per_s, cpu_share)

    def _phase_costs(self, places: list[Place]) -> tuple[PhaseCost, ...]:
        costs = []
        for span in self._timeline.spans:
            loads = self._loads(span, places).values()
            sizes = [max(window_means([float(x.sent + x.received) for x in of], WINDOW)) for of in loads]
            shares = [max(window_means([x.cpu for x in of], WINDOW)) for of in loads]
            costs.append(PhaseCost(span.name, max(sizes, default=0.0), max(shares, default=0.0)))
        return tuple(costs)

    def _real_cost(self) -> RealCost | None:
        samples: dict[int, list[ProcessSample]] = {}
        span = next((span for span in self._timeline.spans if span.ordinary), self._timeline.spans[0])
        for sample in self._of(ProcessSample):
            if not span.begin <= sample.at <= span.end:
                continue
            samples.setdefault(sample.member, []).append(sample)
        without = samples.pop(CONTROL_PROCESS, [])
        if not samples:
            return None
        cost = self._cost(list(self._topology.real))
        return RealCost(
            processes=len(samples),
            bytes_per_s=cost.bytes_per_s.most if cost is not None else 0.0,
            cpu_share=max(cpu_share_of(of) for of in samples.values()),
            cpu_share_without=cpu_share_of(without),
            memory_mb=max(of[-1].memory for of in samples.values()) / 1e6,
            memory_mb_without=without[-1].memory / 1e6 if without else 0.0,
        )

    # ---- changes -------------------------------------------------------------------------------------

    def _first_applied(self) -> dict[int, dict[int, float]]:
        """Change -> member -> when its present process first had it in force."""
        found: dict[int, dict[int, float]] = {}
        for seen in self._of(ConfigurationSeen):
            for change in seen.changes:
                found.setdefault(change, {}).setdefault(seen.member, seen.at)
        self._add_real(found)
        return found

    def _add_real(self, found: dict[int, dict[int, float]]) -> None:
        """A real process tells its version and not what came with it: it has a change once it has passed the
        version at which others got it."""
        versions: dict[int, int] = {}
        for seen in self._of(ConfigurationSeen):
            for change in seen.changes:
                versions[change] = min(versions.get(change, seen.version), seen.version)
        for place in self._topology.real:
            polled = sorted(
                (seen.version, seen.at) for seen in self._of(ConfigurationSeen) if seen.member == place.index
            )
            for change, version in versions.items():
                at = next((at for reached, at in polled if reached >= version), None)
                if at is not None:
                    found[change][place.index] = at

    def _propagation(self, changes: list[int]) -> Propagation:
        """Over changes that came into force anywhere, and members that were within reach meanwhile."""
        seconds: list[float] = []
        missing = 0
        seen = [change for change in changes if change in self._applied]
        for change in seen:
            handed_at = self._handed[change].at
            for place in self._topology.places:
                applied_at = self._applied[change].get(place.index)
                until = handed_at + CHANGE_PATIENCE if applied_at is None else applied_at
                if until > self._end or not self._within_reach(place.index, handed_at, until):
                    continue
                if applied_at is None:
                    missing += 1
                else:
                    seconds.append(applied_at - handed_at)
        return Propagation(spread(seconds), missing, len(seen))

    def _within_reach(self, member: int, begin: float, end: float) -> bool:
        return self._history.present(member, begin, end) and not self._history.cut_off(
            member, begin, min(end, begin + CHANGE_PATIENCE)
        )

    def _propagation_by_phase(self, changes: list[int]) -> dict[str, Propagation]:
        return {
            span.name: self._propagation(
                [change for change in changes if span.begin <= self._handed[change].at < span.end]
            )
            for span in self._timeline.spans
        }

    # ---- late joiners, and those who lack news ------------------------------------------------------

    def _joining(self) -> Propagation:
        seconds: list[float] = []
        missing = events = 0
        newest_at = Steps()
        by_member: dict[int, list[ConfigurationSeen]] = {}
        highest = 0
        for record in self._of(ConfigurationSeen):
            by_member.setdefault(record.member, []).append(record)
            if record.version > highest:
                highest = record.version
                newest_at.add(record.at, (record.epoch, highest))
        for outage in self._history.outages:
            started = outage.interval.end
            _, newest = newest_at.at(started) or (0, 0)
            own = by_member.get(outage.member, [])
            joined_at = next((r.at for r in own if r.at > started and r.version >= newest), None)
            until = started + JOIN_PATIENCE if joined_at is None else joined_at
            if until > self._end:
                continue
            if newest == 0 or not self._within_reach(outage.member, started + JUST_AFTER, until):
                continue
            events += 1
            if joined_at is None:
                missing += 1
            else:
                seconds.append(joined_at - started)
        return Propagation(spread(seconds), missing, events)

    def _staleness(self) -> Propagation:
        """Of cuts that last longer than STALE_PATIENCE."""
        seconds: list[float] = []
        missing = events = 0
        for cut in self._history.cuts:
            until = min(cut.end, cut.begin + STALE_PATIENCE)
            if until < cut.begin + STALE_PATIENCE:
                continue
            events += 1
            for place in self._topology.places:
                if not self._history.cut_off(place.index, cut.begin, until) or place in self._topology.real:
                    continue
                if not self._history.present(place.index, cut.begin, until):
                    continue
                told = [
                    record.at
                    for record in self._of(FreshnessSeen)
                    if record.member == place.index and record.stale and cut.begin <= record.at <= until
                ]
                if told:
                    seconds.append(told[0] - cut.begin)
                else:
                    missing += 1
        return Propagation(spread(seconds), missing, events)

    # ---- failures ------------------------------------------------------------------------------------

    def _failures(self) -> tuple[Propagation, Spread | None]:
        """Of members killed one by one, or with their machine or rack. Where a whole zone is lost, it
        is told as unreachable and its members are held, which is no wrong."""
        dead: dict[int, dict[int, list[float]]] = {}
        for seen in self._of(StatusSeen):
            if seen.status in DEAD_OR_LEFT:
                dead.setdefault(seen.other, {}).setdefault(seen.member, []).append(seen.at)
        every: list[float] = []
        last: list[float] = []
        missing = events = 0
        for outage in self._history.outages:
            killed_at = outage.interval.begin
            until = min(outage.interval.end, self._end, killed_at + FAILURE_PATIENCE)
            if until - killed_at < LEAST_DOWN or self._history.zone_lost(
                outage.member, killed_at + ZONE_CHECK
            ):
                continue
            events += 1
            seconds, unknown = self._failure_known(
                outage.member, killed_at, until, dead.get(outage.member, {})
            )
            every += seconds
            missing += unknown
            if seconds and not unknown:
                last.append(max(seconds))
        return Propagation(spread(every), missing, events), spread(last)

    def _failure_known(
        self, member: int, killed_at: float, until: float, dead: Mapping[int, list[float]]
    ) -> tuple[list[float], int]:
        """Seconds for each observer that could know, and how many of them did not come to."""
        seconds: list[float] = []
        unknown = 0
        for place in self._topology.places:
            times = [at for at in dead.get(place.index, []) if killed_at <= at <= until]
            known_at = min(times, default=None)
            end = until if known_at is None else known_at
            if place.index == member or place in self._topology.real:
                continue
            if not self._history.present(place.index, killed_at, end):
                continue
            if self._history.cut_between(place.index, member, killed_at, end):
                continue
            if known_at is None:
                unknown += 1
            else:
                seconds.append(known_at - killed_at)
        return seconds, unknown

    def _false_statuses(self) -> tuple[int, int]:
        """Suspicions and deaths of members that ran and could be reached for a while already."""
        suspicions = deaths = 0
        for seen in self._of(StatusSeen):
            begin = seen.at - GRACE
            if not self._history.undisturbed(seen.other, begin, seen.at):
                continue
            if self._history.cut_between(seen.member, seen.other, begin, seen.at):
                continue
            suspicions += seen.status == Status.SUSPECT
            deaths += seen.status in DEAD_OR_LEFT
        return suspicions, deaths

    # ---- after a cut ---------------------------------------------------------------------------------

    def _agreement(self, cut: Interval) -> CutAgreement:
        span = next((s for s in self._timeline.spans if s.begin <= cut.begin < s.end), None)
        watched_until = span.end if span is not None else self._end
        return CutAgreement(
            members=self._members_agree(cut.end, watched_until),
            configuration=self._configuration_agrees(cut.end, watched_until),
            watched=watched_until - cut.end,
        )

    def _members_agree(self, healed: float, until: float) -> float | None:
        """Until each live member's view is the truth, at one moment."""
        views: dict[int, Steps] = {}
        for view in self._of(View):
            views.setdefault(view.member, Steps()).add(view.at, (view.count, view.digest))
        at = healed
        while at <= until:
            live = self._history.live(at)
            truth = true_view(live)
            if all(self._agrees(place, views.get(place.index), at, truth) for place in live):
                return at - healed
            at += AGREEMENT_STEP
        return None

    def _agrees(self, place: Place, view: Steps | None, at: float, truth: tuple[int, int]) -> bool:
        """A real process tells only how many it holds for alive."""
        told = view.at(at) if view is not None else None
        if told is None:
            return False
        return told[0] == truth[0] if place in self._topology.real else told == truth

    def _configuration_agrees(self, healed: float, until: float) -> float | None:
        """Until each live member has what was the newest anywhere when the cut ended."""
        seen = self._of(ConfigurationSeen)
        newest = max((record.version for record in seen if record.at <= healed), default=0)
        reached: dict[int, float] = {}
        for record in seen:
            if record.version >= newest:
                reached.setdefault(record.member, record.at)
        if newest == 0:
            return 0.0
        live = [
            place for place in self._history.live(until) if self._history.present(place.index, healed, until)
        ]
        if not all(place.index in reached and reached[place.index] <= until for place in live):
            return None
        return max([max(reached[place.index] - healed, 0.0) for place in live], default=0.0)


def true_view(live: Iterable[Place]) -> tuple[int, int]:
    count = digest = 0
    for place in live:
        count += 1
        digest ^= place.id
    return count, digest


def cpu_share_of(samples: list[ProcessSample]) -> float:
    """Of a core, from the first sample to the last."""
    if len(samples) < 2:
        return 0.0
    return (samples[-1].cpu - samples[0].cpu) / (samples[-1].at - samples[0].at)


def memory_per_member(usage: WorkerUsage) -> float:
    """Bytes. What the harness keeps for a member is in it."""
    return max(usage.memory_at_end - usage.memory_without_members, 0) / max(1, usage.members)


def worst_cut(cuts: Iterable[CutAgreement]) -> float | None:
    """None where one did not end in agreement, or there was none."""
    found = [cut.both for cut in cuts]
    known = [seconds for seconds in found if seconds is not None]
    return max(known) if known and len(known) == len(found) else None
