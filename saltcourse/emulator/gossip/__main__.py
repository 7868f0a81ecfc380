"""Plays random schedules of faults: ``python -m saltcourse.emulator.gossip --seeds 100-200``."""

from __future__ import annotations

import argparse
import sys
import time
import traceback

from saltcourse.emulator.gossip.schedule import FAULT_SECONDS, run_schedule


def main(arguments: list[str] | None = None) -> int:
    """Play the seeds; return 1 if a schedule broke an invariant."""
    parser = argparse.ArgumentParser(prog="python -m saltcourse.emulator.gossip", description=__doc__)
    parser.add_argument("--seeds", default="0-29", help="first and last, for example 100-200; or one seed")
    parser.add_argument("--seconds", type=float, default=FAULT_SECONDS, help="of virtual time with faults")
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        failed += not _play_one(seed, options.seconds)
    print(f"{failed} failed")
    return min(failed, 1)


def _play_one(seed: int, seconds: float) -> bool:
    started_at = time.monotonic()
    try:
        figures = run_schedule(seed, seconds=seconds)
    except AssertionError as broken:
        print(f"seed {seed}: BROKEN {broken}")
        return False
    except Exception:  # whatever a node raises is a failure of this seed, and the next one is still played
        print(f"seed {seed}: RAISED\n{traceback.format_exc()}")
        return False
    print(
        f"seed {seed}: {figures.published} published, {figures.failed} failed, settled in "
        f"{figures.settled_s:.1f} s, last change in {figures.last_change_s:.1f} s; "
        f"{time.monotonic() - started_at:.1f} s of real time"
    )
    return True


if __name__ == "__main__":
    sys.exit(main())
