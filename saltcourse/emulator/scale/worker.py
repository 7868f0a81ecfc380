"""The worker process that hosts a part of the fleet: composition, event loop and shutdown.

Automatic garbage collection is off. A collection visits the objects of all members in the process, so if it
ran within a member's step, its whole CPU time would be charged to that member. Timers collect between steps.
"""

from __future__ import annotations

import gc
import signal
import time
import traceback
from functools import partial
from multiprocessing.connection import Connection
from random import Random
from typing import TypeVar

from saltcourse.emulator.scale.fault_injection import FaultInjector, MemberFactory
from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.mechanisms import member_class
from saltcourse.emulator.scale.member_host import MemberHost
from saltcourse.emulator.scale.publications import PublicationHandler, PublicationResults
from saltcourse.emulator.scale.recorder import Recorder, resident_memory
from saltcourse.emulator.scale.simulated_member import (
    ConfigurationObserved,
    FreshnessObserved,
    Observation,
    PublicationConfirmed,
    PublicationFailed,
    StatusObserved,
)
from saltcourse.emulator.scale.sockets import LinkEmulator, Sockets, raise_open_files_limit
from saltcourse.emulator.scale.timer_queue import TimerQueue
from saltcourse.emulator.scale.worker_messages import (
    Finished,
    Fleet,
    FromWorker,
    Publish,
    Ready,
    SocketsBound,
    StartRun,
    WorkerFailed,
    WorkerTask,
)

LOAD_INTERVAL = 1.0  # seconds between Load records
VIEW_INTERVAL = 0.5  # seconds between View records
COLLECT_INTERVAL = 2.0  # seconds between garbage collections
MAX_POLL_SECONDS = 0.5
Expected = TypeVar("Expected")


class UnexpectedMessageError(Exception):
    """The runner sent a message of the wrong type during the start-up sequence."""


class Worker:
    """One worker process, from the exchange of addresses to the last record."""

    def __init__(self, task: WorkerTask, connection: Connection) -> None:
        self._task = task
        self._connection = connection
        self._random = Random(f"worker {task.seed} {task.members}")
        self._hosted = {index: HostedMember(task.topology.members[index]) for index in task.members}
        raise_open_files_limit(len(task.members))
        self._sockets = Sockets(task.members, connection.fileno())
        self._timers = TimerQueue(self._random)
        self._recorder = Recorder(task.records, task.topology)
        self._results = PublicationResults(connection.send)

    def run(self) -> None:
        """Run until the timeline has ended and all records are written.

        Raises UnexpectedMessageError on an unexpected start-up message, and EOFError or BrokenPipeError when
        the runner has closed the pipe.
        """
        self._send_to_runner(SocketsBound(self._sockets.addresses()))
        self._compose(self._expect(Fleet))
        gc.collect()
        gc.freeze()
        gc.disable()
        memory_before = resident_memory()
        cpu_before = time.process_time()
        self._send_to_runner(Ready())
        run_start = self._expect(StartRun).at
        self._recorder.run_start = run_start
        self._schedule_all(run_start)
        self._loop(run_start + self._task.timeline.end)
        gc.collect()
        cpu = time.process_time() - cpu_before
        dropped = self._sockets.dropped()
        self._recorder.record_usage(len(self._hosted), memory_before, cpu, self._timers.lag, dropped)
        self._recorder.close()
        self._sockets.close()
        self._send_to_runner(Finished())

    def _compose(self, fleet: Fleet) -> None:
        task = self._task
        real = {fleet.addresses[index] for index in fleet.real}
        links = LinkEmulator(task.scenario, task.topology.members, fleet.addresses, self._random)
        factory = MemberFactory(member_class(task.mechanism), task, fleet.addresses, self._random)
        self._host = MemberHost(self._sockets, links, self._timers, real, self._observe)
        self._faults = FaultInjector(
            self._hosted, factory, self._host, self._recorder, self._results.member_killed
        )
        self._publications = PublicationHandler(
            self._hosted, self._host, self._faults, self._timers, self._results
        )

    def _schedule_all(self, run_start: float) -> None:
        members = self._hosted.values()
        for command in self._task.timeline.commands:
            self._timers.call_at(run_start + command.at, partial(self._faults.execute, command))
        self._timers.call_every(run_start, LOAD_INTERVAL, lambda: self._recorder.record_loads(members))
        self._timers.call_every(run_start, VIEW_INTERVAL, lambda: self._recorder.record_views(members))
        self._timers.call_every(run_start, COLLECT_INTERVAL, lambda: gc.collect(1))

    def _loop(self, end: float) -> None:
        while (now := time.monotonic()) < end:
            wait = min(max(self._timers.next_expiry(end) - now, 0.0), MAX_POLL_SECONDS)
            for member, source, datagram in self._sockets.receive(wait):
                self._host.datagram_arrived(self._hosted[member], source, datagram)
            self._timers.run_expired()
            if self._sockets.control_ready:
                self._sockets.control_ready = False
                self._read_control()

    def _read_control(self) -> None:
        while self._connection.poll():
            message = self._connection.recv()
            if isinstance(message, Publish):
                self._publications.publish(message)

    def _observe(self, hosted: HostedMember, observation: Observation) -> None:
        match observation:
            case StatusObserved():
                self._recorder.record_status(hosted, observation)
            case FreshnessObserved():
                self._recorder.record_freshness(hosted, observation)
            case ConfigurationObserved():
                self._recorder.record_configuration(hosted, observation)
            case PublicationConfirmed():
                self._results.confirmed(hosted, observation)
            case PublicationFailed():
                self._results.failed(hosted, observation)

    def _expect(self, kind: type[Expected]) -> Expected:
        message = self._connection.recv()
        if not isinstance(message, kind):
            raise UnexpectedMessageError(f"runner sent {message!r}, expected {kind.__name__}")
        return message

    def _send_to_runner(self, message: FromWorker) -> None:
        self._connection.send(message)


def run_worker(task: WorkerTask, connection: Connection) -> None:
    """Run a worker process. It ignores SIGINT, because the runner stops its workers on Ctrl-C."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        Worker(task, connection).run()
    except (EOFError, BrokenPipeError):
        return  # the runner closed the pipe
    except Exception:
        connection.send(WorkerFailed(traceback.format_exc()))
