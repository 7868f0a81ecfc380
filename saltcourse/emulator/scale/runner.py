"""Executes one run: starts the workers, runs the operator, and stops all processes at the end."""

from __future__ import annotations

import multiprocessing
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from pathlib import Path
from random import Random
from typing import TypeVar

from saltcourse.emulator.scale.operator import Operator
from saltcourse.emulator.scale.records import RecordWriter
from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.timeline import Timeline, build_timeline
from saltcourse.emulator.scale.topology import Topology, build_topology
from saltcourse.emulator.scale.worker import run_worker
from saltcourse.emulator.scale.worker_messages import (
    Finished,
    Fleet,
    Publish,
    PublishResult,
    Ready,
    SocketsBound,
    StartRun,
    WorkerFailed,
    WorkerTask,
)
from saltcourse.gossip.messages import Address

START_TIMEOUT = 30.0  # seconds for the workers to import their modules and bind their sockets
START_LEAD_TIME = 0.3  # seconds from the ``StartRun`` message to the start of the run
START_LEAD_TIME_WITH_REAL = 1.5  # seconds, if real processes are started in that time
END_TIMEOUT = 20.0  # seconds from the end of the timeline to the last records
OPERATOR_STEP = 0.02  # seconds that the runner waits for messages before it advances the operator
JOIN_TIMEOUT = 2.0  # seconds for a worker to exit after its pipe was closed or it was terminated
KEY_BYTES = 32
Expected = TypeVar("Expected")


class RunError(Exception):
    """The run failed or was stopped before its end."""


@dataclass(frozen=True, slots=True)
class RunPlan:
    """The parameters of one run.

    ``size`` is the number of simulated proxies, ``workers`` that of worker processes and ``real`` that of
    real proxies.
    """

    mechanism: str
    scenario: Scenario
    size: int
    seed: int
    workers: int
    real: int = 0


@dataclass(frozen=True, slots=True)
class RunRecords:
    """The record files of a run, with the plan, topology and timeline that their evaluation needs."""

    plan: RunPlan
    topology: Topology
    timeline: Timeline
    paths: tuple[Path, ...]


class RealProcesses:
    """The interface to the real proxies of a run. This implementation is for runs without real proxies."""

    def bind(self, topology: Topology) -> dict[int, Address]:
        """Return the addresses of ``topology.real``, by member index."""
        return {}

    def start(self, addresses: tuple[Address, ...], key: bytes, begin: float, records: Path) -> None:
        """Start the real proxies. Called shortly before the start of the run.

        ``addresses`` are those of all members, ``key`` is the fleet's gossip key and ``begin`` is the start
        of the run on CLOCK_MONOTONIC. Observations of the proxies are written to the file ``records``.
        """

    def close(self) -> None:
        """Stop all processes that were started."""


def execute_run(
    plan: RunPlan,
    folder: Path,
    stop: threading.Event,
    progress: Callable[[float], None],
    real: RealProcesses | None = None,
) -> RunRecords:
    """Execute one run, with the record files in ``folder``.

    ``progress`` is called with the completed fraction of the run. Raises RunError if a worker fails or misses
    a deadline, or if ``stop`` is set.
    """
    run = _Run(plan, folder, stop, progress, real or RealProcesses())
    try:
        return run.execute()
    finally:
        run.close()


class _Run:
    def __init__(
        self,
        plan: RunPlan,
        folder: Path,
        stop: threading.Event,
        progress: Callable[[float], None],
        real: RealProcesses,
    ) -> None:
        self._plan = plan
        self._folder = folder
        self._stop = stop
        self._progress = progress
        self._real = real
        self._topology = build_topology(plan.scenario, plan.size, plan.real)
        self._timeline = build_timeline(plan.scenario, self._topology, plan.seed)
        self._processes: list[SpawnProcess] = []
        self._pipes: list[Connection] = []
        self._pipe_by_member: dict[int, Connection] = {}  # pipe of the worker that hosts each member
        self._key = Random(f"key {plan.seed}").randbytes(KEY_BYTES)

    def execute(self) -> RunRecords:
        paths = self._start_workers()
        addresses = self._exchange_addresses()
        operator_path = self._folder / f"{self._plan.mechanism}-{self._plan.size}-operator.jsonl"
        real_path = self._folder / f"{self._plan.mechanism}-{self._plan.size}-real.jsonl"
        records = RecordWriter(operator_path)
        try:
            run_start = time.monotonic() + (
                START_LEAD_TIME_WITH_REAL if self._topology.real else START_LEAD_TIME
            )
            self._real.start(addresses, self._key, run_start, real_path)
            for pipe in self._pipes:
                pipe.send(StartRun(run_start))
            self._operate(run_start, records)
        finally:
            self._real.close()
            records.close()
        paths += [operator_path, *([real_path] if real_path.exists() else [])]
        return RunRecords(self._plan, self._topology, self._timeline, tuple(paths))

    def _start_workers(self) -> list[Path]:
        context = multiprocessing.get_context("spawn")
        simulated = [spec.index for spec in self._topology.members if spec not in self._topology.real]
        paths = []
        for number in range(min(self._plan.workers, len(simulated))):
            members = tuple(simulated[number :: self._plan.workers])
            path = self._folder / f"{self._plan.mechanism}-{self._plan.size}-{number}.jsonl"
            task = WorkerTask(
                self._plan.mechanism,
                self._plan.scenario,
                self._topology,
                self._timeline,
                members,
                self._plan.seed + number,
                self._key,
                path,
            )
            runner_end, worker_end = context.Pipe()
            process = context.Process(target=run_worker, args=(task, worker_end), daemon=True)
            process.start()
            worker_end.close()
            self._processes.append(process)
            self._pipes.append(runner_end)
            self._pipe_by_member.update(dict.fromkeys(members, runner_end))
            paths.append(path)
        return paths

    def _exchange_addresses(self) -> tuple[Address, ...]:
        deadline = time.monotonic() + START_TIMEOUT
        address_by_member = self._real.bind(self._topology)
        real = frozenset(address_by_member)
        for pipe in self._pipes:
            address_by_member = address_by_member | self._expect(pipe, SocketsBound, deadline).addresses
        addresses = tuple(address_by_member[spec.index] for spec in self._topology.members)
        for pipe in self._pipes:
            pipe.send(Fleet(addresses, real))
        for pipe in self._pipes:
            self._expect(pipe, Ready, deadline)
        return addresses

    def _expect(self, pipe: Connection, kind: type[Expected], deadline: float) -> Expected:
        while not pipe.poll(OPERATOR_STEP):
            if self._stop.is_set():
                raise RunError("stopped")
            if time.monotonic() > deadline:
                raise RunError(f"a worker did not send {kind.__name__} within {START_TIMEOUT:g} s")
        message = self._receive(pipe)
        if not isinstance(message, kind):
            raise RunError(f"a worker sent {message!r}, expected {kind.__name__}")
        return message

    def _receive(self, pipe: Connection) -> object:
        try:
            message = pipe.recv()
        except (EOFError, ConnectionError):
            raise RunError("a worker process exited during the run") from None
        if isinstance(message, WorkerFailed):
            raise RunError(f"a worker failed:\n{message.text}")
        return message

    def _operate(self, run_start: float, records: RecordWriter) -> None:
        minority = self._plan.scenario.zones[-1].region
        operator = Operator(self._topology, self._timeline, self._send, records.write, minority)
        working = set(self._pipes)
        deadline = run_start + self._timeline.end + END_TIMEOUT
        while working:
            if self._stop.is_set():
                raise RunError("stopped")
            if time.monotonic() > deadline:
                raise RunError(f"a worker did not finish within {END_TIMEOUT:g} s of the timeline's end")
            now = time.monotonic() - run_start
            if now < self._timeline.end:
                operator.advance(now)
            for ready in wait(list(working), OPERATOR_STEP):
                assert isinstance(ready, Connection)
                message = self._receive(ready)
                if isinstance(message, PublishResult):
                    operator.result_received(time.monotonic() - run_start, message)
                elif isinstance(message, Finished):
                    working.discard(ready)
            self._progress(min(max(now / self._timeline.end, 0.0), 1.0))

    def _send(self, request: Publish) -> None:
        try:
            self._pipe_by_member[request.member].send(request)
        except OSError:
            raise RunError(f"the worker of member {request.member} exited during the run") from None

    def close(self) -> None:
        """Stop the worker processes that have not exited: close their pipes, then terminate, then kill."""
        for pipe in self._pipes:
            pipe.close()  # a worker that waits for a message exits on this
        for process in self._processes:
            process.join(JOIN_TIMEOUT if not self._stop.is_set() else 0.1)
            if process.is_alive():
                process.terminate()
                process.join(JOIN_TIMEOUT)
            if process.is_alive():
                process.kill()
                process.join()
