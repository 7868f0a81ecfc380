"""One process that hosts a part of the fleet: moves datagrams and timers, carries out faults, keeps records.

Garbage is collected between the members' steps and not within them: a collection goes through all members of
the process, so it would be charged to whichever happened to be at work.
"""

from __future__ import annotations

import gc
import heapq
import os
import signal
import time
import traceback
from collections.abc import Callable
from functools import partial
from multiprocessing.connection import Connection
from random import Random
from typing import TypeVar

from saltcourse.emulator.scale.hollow import (
    ConfigurationObserved,
    FreshnessObserved,
    HollowMember,
    MembersView,
    Observation,
    Output,
    PublicationConfirmed,
    PublicationFailed,
    Seat,
    StatusObserved,
)
from saltcourse.emulator.scale.mechanisms import member_class
from saltcourse.emulator.scale.orders import (
    DOWN,
    NOT_PUBLISHER,
    Begin,
    Bound,
    Finished,
    Fleet,
    FromWorker,
    Publish,
    PublishResult,
    Ready,
    WorkerFailed,
    WorkerTask,
)
from saltcourse.emulator.scale.records import (
    ConfigurationSeen,
    FreshnessSeen,
    Lifecycle,
    Load,
    RecordWriter,
    StatusSeen,
    View,
    WorkerUsage,
)
from saltcourse.emulator.scale.sockets import Paths, Sockets, allow_sockets
from saltcourse.emulator.scale.summary import percentile
from saltcourse.emulator.scale.timeline import Act, Command
from saltcourse.emulator.scale.topology import Place
from saltcourse.gossip.messages import PACKET_OVERHEAD_BYTES, Address, Status, Transmit

LOAD_INTERVAL = 1.0  # s between records of what members spent
VIEW_INTERVAL = 0.5  # s between looks at whom they hold for alive
COLLECT_INTERVAL = 2.0  # s between collections of garbage
LAG_SAMPLES = 4_096
LONGEST_WAIT = 0.5  # s in one poll
LEAST_TICK_DELAY = 0.001  # s, as the gossip's host has it: a deadline that does not move must not spin
STEPS_AT_ONCE = 256  # due events before sockets are read again
EVERYONE = -1
Expected = TypeVar("Expected")


class HostedMember:
    """A member's place in this worker, over all its processes."""

    def __init__(self, place: Place) -> None:
        self.place = place
        self.core: HollowMember | None = None
        self.stopped = False
        self.waiting: list[tuple[Address, bytes]] = []  # came while it was stopped
        self.timer: float | None = None  # when the earliest of its timers in the queue is due
        self.sent = 0
        self.received = 0
        self.cpu = 0.0  # of its earlier processes
        self.cpu_recorded = 0.0
        self.view: MembersView | None = None
        self.not_alive: dict[str, Status] = {}
        self.stored: object = None
        self.publishing: set[int] = set()  # changes that the operator waits for

    def take_cpu(self) -> float:
        """Since the last call."""
        total = self.cpu + (self.core.cpu if self.core is not None else 0.0)
        spent, self.cpu_recorded = total - self.cpu_recorded, total
        return spent


class Worker:
    def __init__(self, task: WorkerTask, connection: Connection) -> None:
        self._task = task
        self._connection = connection
        self._random = Random(f"worker {task.seed} {task.members}")
        self._hosted = {index: HostedMember(task.topology.places[index]) for index in task.members}
        self._by_name = {place.name: place.index for place in task.topology.places}
        allow_sockets(len(task.members))
        self._sockets = Sockets(task.members, connection.fileno())
        self._fleet = Fleet(())
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._begin = 0.0
        self._lags: list[float] = []
        self._lag_max = 0.0
        self._events = 0

    # ---- from start to end ---------------------------------------------------------------------------

    def run(self) -> None:
        self._send_to_runner(Bound(self._sockets.addresses()))
        self._fleet = self._expect(Fleet)
        self._real = {self._fleet.addresses[index] for index in self._fleet.real}
        places = self._task.topology.places
        self._paths = Paths(self._task.scenario, places, self._fleet.addresses, self._random)
        self._member_class = member_class(self._task.mechanism)
        self._records = RecordWriter(self._task.records)
        gc.collect()
        gc.freeze()
        gc.disable()
        memory_before = resident_memory()
        cpu_before = time.process_time()
        self._send_to_runner(Ready())
        self._begin = self._expect(Begin).at
        self._schedule_all()
        self._loop(self._begin + self._task.timeline.end)
        gc.collect()
        self._record_usage(memory_before, time.process_time() - cpu_before)
        self._records.close()
        self._sockets.close()
        self._send_to_runner(Finished())

    def _expect(self, kind: type[Expected]) -> Expected:
        message = self._connection.recv()
        if not isinstance(message, kind):
            raise RuntimeError(f"{kind.__name__} was expected, not {message!r}")
        return message

    def _schedule_all(self) -> None:
        for command in self._task.timeline.commands:
            self._at(self._begin + command.at, partial(self._carry_out, command))
        self._repeat(LOAD_INTERVAL, self._record_loads)
        self._repeat(VIEW_INTERVAL, self._record_views)
        self._repeat(COLLECT_INTERVAL, lambda: gc.collect(1))

    def _repeat(self, interval: float, act: Callable[[], object], count: int = 1) -> None:
        """At fixed times from the begin of the run, so that no lag adds up."""

        def ring() -> None:
            act()
            self._repeat(interval, act, count + 1)

        self._at(self._begin + count * interval, ring)

    def _loop(self, end: float) -> None:
        while (now := time.monotonic()) < end:
            due = min(self._queue[0][0], end) if self._queue else end
            for member, source, datagram in self._sockets.receive(min(max(due - now, 0.0), LONGEST_WAIT)):
                self._arrived(member, source, datagram)
            self._run_due()
            if self._sockets.control_ready:
                self._sockets.control_ready = False
                self._take_orders()

    def _run_due(self) -> None:
        for _ in range(STEPS_AT_ONCE):
            now = time.monotonic()
            if not self._queue or self._queue[0][0] > now:
                return
            due, _, act = heapq.heappop(self._queue)
            self._note_lag(now - due)
            act()

    def _note_lag(self, lag: float) -> None:
        """A sample of fixed size over the whole run."""
        self._events += 1
        self._lag_max = max(self._lag_max, lag)
        if len(self._lags) < LAG_SAMPLES:
            self._lags.append(lag)
        elif (slot := self._random.randrange(self._events)) < LAG_SAMPLES:
            self._lags[slot] = lag

    def _at(self, when: float, act: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, act))

    def _now(self) -> float:
        """Since the begin of the run."""
        return time.monotonic() - self._begin

    # ---- datagrams -----------------------------------------------------------------------------------

    def _arrived(self, index: int, source: Address, datagram: bytes) -> None:
        hosted = self._hosted[index]
        delay = self._paths.delay(hosted.place.zone, source)
        if delay is not None:
            self._at(time.monotonic() + delay, lambda: self._deliver(hosted, source, datagram))

    def _deliver(self, hosted: HostedMember, source: Address, datagram: bytes) -> None:
        if hosted.core is None or not self._paths.open(hosted.place.zone, source):
            return
        if hosted.stopped:
            hosted.waiting.append((source, datagram))
            return
        hosted.received += len(datagram) + PACKET_OVERHEAD_BYTES
        self._carry(hosted, hosted.core.receive(time.monotonic(), source, datagram))

    def _carry(self, hosted: HostedMember, output: Output) -> None:
        index = hosted.place.index
        for transmit in output.datagrams:
            hosted.sent += len(transmit.datagram) + PACKET_OVERHEAD_BYTES
            if transmit.destination in self._real:
                self._send_to_real(hosted, transmit)
            else:
                self._sockets.send(index, transmit.datagram, transmit.destination)
        for observation in output.observations:
            self._observe(hosted, observation)
        self._set_timer(hosted)

    def _send_to_real(self, hosted: HostedMember, transmit: Transmit) -> None:
        """Nobody stands before a real process's socket, so its link is played here."""
        delay = self._paths.delay(hosted.place.zone, transmit.destination)
        if delay is None:
            return

        def send() -> None:
            if self._paths.open(hosted.place.zone, transmit.destination):
                self._sockets.send(hosted.place.index, transmit.datagram, transmit.destination)

        self._at(time.monotonic() + delay, send)

    def _set_timer(self, hosted: HostedMember) -> None:
        """A later deadline waits for the timer that is set; an earlier one gets its own."""
        if hosted.core is None:
            return
        deadline = max(hosted.core.next_deadline, time.monotonic() + LEAST_TICK_DELAY)
        if hosted.timer is None or deadline < hosted.timer:
            hosted.timer = deadline
            self._at(deadline, lambda: self._ring(hosted, deadline))

    def _ring(self, hosted: HostedMember, set_for: float) -> None:
        if hosted.timer != set_for:
            return  # an earlier one took its place
        hosted.timer = None
        if hosted.core is None or hosted.stopped:
            return
        now = time.monotonic()
        if hosted.core.next_deadline <= now:
            self._carry(hosted, hosted.core.tick(now))
        else:
            self._set_timer(hosted)

    # ---- faults --------------------------------------------------------------------------------------

    def _carry_out(self, command: Command) -> None:
        if command.act in (Act.CUT, Act.HEAL):
            self._paths.cut = command.act is Act.CUT
            self._records.write(Lifecycle(self._now(), EVERYONE, command.act.value))
            return
        for index in command.members:
            if index in self._hosted:
                self._befall(self._hosted[index], command.act)

    def _befall(self, hosted: HostedMember, act: Act) -> None:
        match act:
            case Act.START if hosted.core is None:
                self._start(hosted)
            case Act.KILL if hosted.core is not None:
                self._record_act(hosted, act)
                self._kill(hosted)
            case Act.STOP if hosted.core is not None and not hosted.stopped:
                self._record_act(hosted, act)
                hosted.stopped = True
                self._sockets.ignore(hosted.place.index)
            case Act.RESUME if hosted.stopped:
                self._record_act(hosted, act)
                self._resume(hosted)
            case _:
                pass  # another fault was there first

    def _record_act(self, hosted: HostedMember, act: Act) -> None:
        self._records.write(Lifecycle(self._now(), hosted.place.index, act.value))

    def _start(self, hosted: HostedMember) -> None:
        self._record_act(hosted, Act.START)
        task = self._task
        seat = Seat(
            place=hosted.place,
            topology=task.topology,
            addresses=self._fleet.addresses,
            arrivals=task.scenario.arrivals,
            key=task.key,
            process=self._random.getrandbits(32),
            random=Random(f"member {task.seed} {hosted.place.index} {self._random.random()}"),
            stored=hosted.stored,
        )
        hosted.view = None
        hosted.not_alive = {}
        hosted.core = self._member_class(seat)
        self._carry(hosted, hosted.core.start(time.monotonic()))

    def _kill(self, hosted: HostedMember) -> None:
        if hosted.core is None:
            return
        if hosted.stopped:
            hosted.stopped = False
            self._sockets.watch(hosted.place.index)
        hosted.cpu += hosted.core.cpu
        hosted.stored = hosted.core.stored()
        hosted.core = None
        hosted.waiting = []
        for change in hosted.publishing:  # the operator's connection breaks
            self._send_to_runner(PublishResult(change, hosted.place.index, DOWN))
        hosted.publishing = set()

    def _resume(self, hosted: HostedMember) -> None:
        hosted.stopped = False
        self._sockets.watch(hosted.place.index)
        waiting, hosted.waiting = hosted.waiting, []
        for source, datagram in waiting:
            self._deliver(hosted, source, datagram)
        self._set_timer(hosted)

    # ---- the operator's changes ----------------------------------------------------------------------

    def _take_orders(self) -> None:
        while self._connection.poll():
            message = self._connection.recv()
            if isinstance(message, Publish):
                self._publish(message)

    def _publish(self, order: Publish) -> None:
        hosted = self._hosted[order.member]
        if hosted.core is None or hosted.stopped:
            self._send_to_runner(PublishResult(order.change, order.member, DOWN))
            return
        if order.kill_after is not None:
            if not hosted.core.is_publisher():
                self._send_to_runner(PublishResult(order.change, order.member, NOT_PUBLISHER))
                return
            self._schedule_loss(hosted, order.kill_after, order.restart_after)
        hosted.publishing.add(order.change)
        self._carry(hosted, hosted.core.publish(time.monotonic(), order.change, order.padding))

    def _schedule_loss(self, hosted: HostedMember, kill_after: float, restart_after: float) -> None:
        killed_at = time.monotonic() + kill_after
        self._at(killed_at, lambda: self._befall(hosted, Act.KILL))
        if restart_after > 0:
            self._at(killed_at + restart_after, lambda: self._befall(hosted, Act.START))

    def _send_to_runner(self, message: FromWorker) -> None:
        self._connection.send(message)

    # ---- records -------------------------------------------------------------------------------------

    def _observe(self, hosted: HostedMember, observation: Observation) -> None:
        index = hosted.place.index
        match observation:
            case StatusObserved():
                self._observe_status(hosted, observation)
            case FreshnessObserved(stale):
                self._records.write(FreshnessSeen(self._now(), index, stale))
            case ConfigurationObserved():
                self._records.write(
                    ConfigurationSeen(
                        self._now(),
                        index,
                        observation.epoch,
                        observation.version,
                        observation.digest,
                        list(observation.changes),
                        list(observation.torn),
                    )
                )
            case PublicationConfirmed():
                hosted.publishing.discard(observation.change)
                self._send_to_runner(
                    PublishResult(observation.change, index, "", observation.epoch, observation.version)
                )
            case PublicationFailed():
                hosted.publishing.discard(observation.change)
                self._send_to_runner(PublishResult(observation.change, index, observation.reason))

    def _observe_status(self, hosted: HostedMember, seen: StatusObserved) -> None:
        """That members come to be known when the fleet starts is no news; only trouble is."""
        other = self._by_name.get(seen.name)
        if other is None or hosted.not_alive.get(seen.name, Status.ALIVE) == seen.status:
            return
        if seen.status is Status.ALIVE:
            del hosted.not_alive[seen.name]
        else:
            hosted.not_alive[seen.name] = seen.status
        self._records.write(StatusSeen(self._now(), hosted.place.index, other, int(seen.status)))

    def _record_loads(self) -> None:
        at = self._now()
        for index, hosted in self._hosted.items():
            self._records.write(Load(at, index, hosted.sent, hosted.received, hosted.take_cpu()))
            hosted.sent = hosted.received = 0
        self._records.flush()

    def _record_views(self) -> None:
        at = self._now()
        for index, hosted in self._hosted.items():
            if hosted.core is None or hosted.stopped:
                continue
            view = hosted.core.view()
            if view != hosted.view:
                hosted.view = view
                self._records.write(View(at, index, view.count, view.digest))

    def _record_usage(self, memory_before: int, cpu: float) -> None:
        self._records.write(
            WorkerUsage(
                members=len(self._hosted),
                memory_without_members=memory_before,
                memory_at_end=resident_memory(),
                cpu=cpu,
                lag_p99=percentile(self._lags, 0.99) if self._lags else 0.0,
                lag_max=self._lag_max,
                dropped=self._sockets.dropped(),
            )
        )


def resident_memory() -> int:
    """Bytes of this process, as the kernel counts them."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def work(task: WorkerTask, connection: Connection) -> None:
    """The body of a worker process. Its end is the runner's matter, also on Ctrl-C."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        Worker(task, connection).run()
    except (EOFError, BrokenPipeError):
        return  # the runner has gone
    except Exception:
        connection.send(WorkerFailed(traceback.format_exc()))
