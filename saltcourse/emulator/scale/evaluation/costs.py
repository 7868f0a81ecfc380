"""The cost of a run's members: bytes, CPU and memory."""

from __future__ import annotations

from collections.abc import Iterable

from saltcourse.emulator.scale.evaluation.metrics import CostSummary, PhaseCost, RealCost
from saltcourse.emulator.scale.evaluation.record_index import RecordIndex
from saltcourse.emulator.scale.records import BASELINE_PROCESS, Load, ProcessSample, WorkerUsage
from saltcourse.emulator.scale.summary import summarize, window_means
from saltcourse.emulator.scale.timeline import PhaseSpan
from saltcourse.emulator.scale.topology import MemberSpec

WINDOW_SECONDS = 10  # seconds of a sliding window; one Load record per member and second


def ordinary_cost(index: RecordIndex, specs: Iterable[MemberSpec]) -> CostSummary | None:
    """Return the cost of these members in the phases without faults, or None if there are no records."""
    members = {spec.index for spec in specs}
    byte_rates: list[float] = []
    cpu_shares: list[float] = []
    for span in index.timeline.spans:
        if not span.ordinary:
            continue
        for loads in _loads_by_member(index, span, members):
            byte_rates += _byte_rates(loads)
            cpu_shares += _cpu_shares(loads)
    bytes_per_s, cpu_share = summarize(byte_rates), summarize(cpu_shares)
    if bytes_per_s is None or cpu_share is None:
        return None
    return CostSummary(bytes_per_s, cpu_share)


def phase_costs(index: RecordIndex, specs: Iterable[MemberSpec]) -> tuple[PhaseCost, ...]:
    """Return the highest window mean of any of these members, for each phase."""
    members = {spec.index for spec in specs}
    costs = []
    for span in index.timeline.spans:
        of_members = _loads_by_member(index, span, members)
        byte_rates = [max(_byte_rates(loads)) for loads in of_members]
        cpu_shares = [max(_cpu_shares(loads)) for loads in of_members]
        costs.append(PhaseCost(span.name, max(byte_rates, default=0.0), max(cpu_shares, default=0.0)))
    return tuple(costs)


def real_cost(index: RecordIndex) -> RealCost | None:
    """Return the cost of the real processes, or None if there were none."""
    samples = _samples_by_process(index)
    baseline = samples.pop(BASELINE_PROCESS, [])
    if not samples:
        return None
    cost = ordinary_cost(index, index.topology.real)
    return RealCost(
        processes=len(samples),
        bytes_per_s=cost.bytes_per_s.max if cost is not None else 0.0,
        cpu_share=max(cpu_share_of(of_process) for of_process in samples.values()),
        cpu_share_without_gossip=cpu_share_of(baseline),
        memory_mb=max(of_process[-1].memory for of_process in samples.values()) / 1e6,
        memory_mb_without_gossip=baseline[-1].memory / 1e6 if baseline else 0.0,
    )


def cpu_share_of(samples: list[ProcessSample]) -> float:
    """Return the used fraction of a core between the first and the last sample."""
    if len(samples) < 2:
        return 0.0
    return (samples[-1].cpu - samples[0].cpu) / (samples[-1].at - samples[0].at)


def memory_per_member(usage: WorkerUsage) -> float:
    """Return the memory in bytes for each member of a worker, including the emulator's state for it."""
    return max(usage.memory_at_end - usage.memory_without_members, 0) / max(1, usage.members)


def _loads_by_member(index: RecordIndex, span: PhaseSpan, members: set[int]) -> list[list[Load]]:
    loads_by_member: dict[int, list[Load]] = {}
    for load in index.records_of(Load):
        if load.member in members and span.start < load.at <= span.end:
            loads_by_member.setdefault(load.member, []).append(load)
    return list(loads_by_member.values())


def _byte_rates(loads: list[Load]) -> list[float]:
    return window_means([float(load.sent + load.received) for load in loads], WINDOW_SECONDS)


def _cpu_shares(loads: list[Load]) -> list[float]:
    return window_means([load.cpu for load in loads], WINDOW_SECONDS)


def _samples_by_process(index: RecordIndex) -> dict[int, list[ProcessSample]]:
    """Return the samples of the first ordinary phase, or of the first phase if none is ordinary."""
    spans = index.timeline.spans
    span = next((span for span in spans if span.ordinary), spans[0])
    samples: dict[int, list[ProcessSample]] = {}
    for sample in index.records_of(ProcessSample):
        if span.start <= sample.at <= span.end:
            samples.setdefault(sample.member, []).append(sample)
    return samples
