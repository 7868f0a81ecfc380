"""Receives snapshots: checks each part, manages the current transfer and applies a complete snapshot."""

from __future__ import annotations

from collections import Counter

from saltcourse.gossip.configuration import ApplyOutcome, FleetConfiguration, PositionRelation
from saltcourse.gossip.fetching import Fetcher
from saltcourse.gossip.messages import MAX_CONFIGURATION_BYTES, Address, Send, SnapshotPart
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.snapshots import INFINITY, PartFault, SnapshotTransfer, is_well_formed


class SnapshotReceiver:
    """Manages at most one snapshot transfer.

    A transfer starts with the first part that answers a fetch. A transfer that no server answers any more is
    suspended: its parts are kept until a new fetch shows which snapshot the other members have.
    """

    def __init__(
        self, timing: Timing, configuration: FleetConfiguration, fetcher: Fetcher, counters: Counter[str]
    ) -> None:
        self._timing = timing
        self._configuration = configuration
        self._fetcher = fetcher
        self._counters = counters
        self._transfer: SnapshotTransfer | None = None

    @property
    def is_active(self) -> bool:
        """Whether a transfer is running; no changes are fetched then, as the answer would be a snapshot."""
        return self._active_transfer is not None

    def receive(self, now: float, source: Address, part: SnapshotPart) -> list[Send]:
        """Process one part. A rejected part is counted by its ``PartFault``."""
        fault = self._check_part(part)
        if fault is None:
            return self._accept(now, source, part)
        self._counters[f"snapshot_{fault.name.lower()}"] += 1
        if self._transfer is not None:
            self._transfer.on_wrong_answer(source)
        return self.tick(now)

    def tick(self, now: float) -> list[Send]:
        """Request the missing parts that may be requested now; end a transfer that became unnecessary."""
        transfer = self._transfer
        if transfer is None:
            return []
        if not self._configuration.is_ahead(transfer.assembly.position):
            self._transfer = None  # fetched changes have already passed the position of the snapshot
            return self._fetch_remaining_changes(now)
        sends = transfer.tick(now)
        return sends + self._fetch_remaining_changes(now) if transfer.is_suspended else sends

    def next_deadline(self) -> float:
        """Return the time of the next ``tick``, in seconds on the clock of ``now``."""
        transfer = self._active_transfer
        return INFINITY if transfer is None else transfer.next_deadline()

    @property
    def _active_transfer(self) -> SnapshotTransfer | None:
        transfer = self._transfer
        return None if transfer is None or transfer.is_suspended else transfer

    def _check_part(self, part: SnapshotPart) -> PartFault | None:
        relation = self._configuration.compare(part.position)
        if relation is not PositionRelation.AHEAD:
            return PartFault[relation.name]
        if part.size > MAX_CONFIGURATION_BYTES:
            return PartFault.TOO_LARGE
        if not is_well_formed(part):
            return PartFault.MALFORMED
        transfer = self._active_transfer
        if transfer is not None and not transfer.assembly.matches(part):
            same_position = part.position == transfer.assembly.position
            return PartFault.CONFLICT if same_position else PartFault.MOVED_ON
        if self._transfer is None and not self._fetcher.is_request_pending:
            return PartFault.UNSOLICITED
        return None

    def _accept(self, now: float, source: Address, part: SnapshotPart) -> list[Send]:
        transfer = self._transfer_for(now, source, part)
        transfer.receive(part)
        if transfer.assembly.is_complete:
            return self._finish(now, source, transfer)
        return self.tick(now)

    def _transfer_for(self, now: float, source: Address, part: SnapshotPart) -> SnapshotTransfer:
        """Return the transfer that ``part`` belongs to: the running one, a resumed one or a new one."""
        transfer = self._active_transfer
        if transfer is not None:
            return transfer
        transfer = self._transfer
        if transfer is not None and transfer.assembly.matches(part):
            transfer.resume(now, source)
        else:
            transfer = SnapshotTransfer(now, self._timing, part, source, self._fetcher.choose_server)
            self._counters["snapshot_transfers"] += 1
        self._transfer = transfer
        self._fetcher.cancel()
        return transfer

    def _finish(self, now: float, source: Address, transfer: SnapshotTransfer) -> list[Send]:
        self._transfer = None
        checkpoint = transfer.assembly.checkpoint()
        outcome = ApplyOutcome.INVALID
        if checkpoint.digest == transfer.assembly.digest:
            outcome = self._configuration.load_checkpoint(checkpoint)
        self._counters[f"snapshot_{outcome.name.lower()}"] += 1
        if outcome is ApplyOutcome.INVALID:
            self._fetcher.retry_later(now, avoid=source)
            return []
        return self._fetch_remaining_changes(now)

    def _fetch_remaining_changes(self, now: float) -> list[Send]:
        """Fetch the changes that were committed during the transfer, if any are known."""
        self._fetcher.prune(now)
        if self._fetcher.is_request_pending or not self._fetcher.is_behind:
            return []
        return self._fetcher.fetch(now)
