"""Run random schedules of faults: ``python -m saltcourse.emulator.gossip --seeds 100-200``."""

from __future__ import annotations

import argparse
import sys
import time
import traceback

from saltcourse.emulator.gossip.schedule import FAULT_SECONDS, run_schedule


def main(arguments: list[str] | None = None) -> int:
    """Run the schedules of the given seeds; return 1 if one of them failed, else 0."""
    parser = argparse.ArgumentParser(prog="python -m saltcourse.emulator.gossip", description=__doc__)
    parser.add_argument(
        "--seeds", default="0-29", help="first and last seed, for example 100-200, or one seed"
    )
    parser.add_argument("--seconds", type=float, default=FAULT_SECONDS, help="virtual seconds with faults")
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        failed += not _run_seed(seed, options.seconds)
    print(f"{failed} schedules failed")
    return min(failed, 1)


def _run_seed(seed: int, seconds: float) -> bool:
    started_at = time.monotonic()
    try:
        result = run_schedule(seed, seconds=seconds)
    except AssertionError as error:
        print(f"seed {seed}: INVARIANT VIOLATED: {error}")
        return False
    except Exception:  # An exception in a node fails this seed only.
        print(f"seed {seed}: EXCEPTION\n{traceback.format_exc()}")
        return False
    print(
        f"seed {seed}: {result.published} published, {result.failed} failed, settled in "
        f"{result.settled_s:.1f} s, last change in {result.last_change_s:.1f} s; "
        f"{time.monotonic() - started_at:.1f} s of real time"
    )
    return True


if __name__ == "__main__":
    sys.exit(main())
