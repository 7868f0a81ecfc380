"""Benchmark of the takeover of the service address: ``python benchmarks/takeover.py [--quick] [--json]``.

Two proxies and a witness run as real processes on loopback, with two simulated route servers and the toy
platform. Each trial ends or stops the process that holds the address:

- ``kill9`` and ``sigstop`` (takeover): the time from the signal until the best route at both route servers
  leads to the other proxy;
- ``sigterm``, a planned exit (gap): the time in which a route server has no route, the longer of the two.

Times are taken from the state of the route servers, not from what the proxies report. A trial that exceeds
``TRIAL_TIMEOUT`` counts as infinite. The last line is one JSON object with p50, p99 and maximum in seconds.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "example")]

from toy import Platform  # noqa: E402

from saltcourse.emulator.route_server import RouteServer  # noqa: E402

ADDRESS = "192.0.2.7"
SIGNALS = {"kill9": signal.SIGKILL, "sigstop": signal.SIGSTOP, "sigterm": signal.SIGTERM}
FAILURES = tuple(SIGNALS)
TRIAL_TIMEOUT = 20.0  # seconds
SETTLE_SECONDS = 1.5  # between trials, so that a restarted member has established its BGP sessions


class Site:
    """The processes of two proxies (``a``, ``b``) and a witness (``w``), and the route servers."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.environment = folder, {**os.environ, "PYTHONPATH": str(ROOT)}
        self.servers = [RouteServer(64512), RouteServer(64512)]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.log = os.open(folder / "log", os.O_WRONLY | os.O_CREAT)

    async def start(self) -> None:
        for server in self.servers:
            await server.start()
        discovery = await Platform({"toy-1": 0, "toy-2": 0}).start(0)
        key = self.folder / "key"
        key.write_text(os.urandom(32).hex())
        key.chmod(0o600)
        kinds = {"a": socket.SOCK_DGRAM, "b": socket.SOCK_DGRAM, "w": socket.SOCK_DGRAM}
        ports = {name: self._free_port(kind) for name, kind in kinds.items()}
        roles = {"a": "priority: 2", "b": "priority: 1", "w": "witness: true"}
        members = "".join(
            f'  member {{ name: "{name}" address: "127.0.0.1:{port}" {roles[name]} }}\n'
            for name, port in ports.items()
        )
        config = json.loads((ROOT / "example" / "config.json").read_text())
        config["settings"]["limits"]["peers"] = True
        config["discovery"] = f"127.0.0.1:{discovery}"
        for number, name in enumerate("abw", 1):
            routers = " ".join(f'route_server: "127.0.0.1:{s.port}"' for s in self.servers)
            bgp = (
                ""
                if name == "w"
                else (
                    f'  bgp {{ asn: 64512 peer_asn: 64512 identifier: "10.0.0.{number}"'
                    f' next_hop: "10.0.0.{number}" {routers} }}\n'
                )
            )
            (self.folder / f"{name}.txtpb").write_text(
                f'membership {{\n  me: "{name}"\n  service_address: "{ADDRESS}"\n{members}  key_file: "key"\n'
                f'  store_file: "{name}.vote"\n{bgp}}}\n'
            )
            config |= {"name": name, "listen": f"127.0.0.1:{self._free_port(socket.SOCK_STREAM)}"}
            (self.folder / f"{name}.json").write_text(json.dumps(config))
            await self.start_process(name)

    @staticmethod
    def _free_port(kind: int) -> int:
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind(("127.0.0.1", 0))
            return int(sock.getsockname()[1])

    async def start_process(self, name: str) -> None:
        arguments = ["witness"] if name == "w" else ["serve", "--config", str(self.folder / f"{name}.json")]
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "saltcourse",
            *arguments,
            "--operator",
            str(self.folder / f"{name}.txtpb"),
            cwd=self.folder,
            env=self.environment,
            stderr=self.log,
        )

    def holder(self) -> str:
        """Return the proxy that the best route at both route servers leads to.

        Empty if the route servers differ or have no route.
        """
        next_hops = {str(r.next_hop) if (r := s.best(ADDRESS)) else "" for s in self.servers}
        return {"10.0.0.1": "a", "10.0.0.2": "b"}.get(next_hops.pop(), "") if len(next_hops) == 1 else ""

    async def wait_for_holder(self, other_than: str = "") -> str:
        """Return the holder, once it is not ``other_than``. Raises TimeoutError after ``TRIAL_TIMEOUT``."""
        began = time.monotonic()
        while not (holder := self.holder()) or holder == other_than:
            if time.monotonic() - began > TRIAL_TIMEOUT:
                raise TimeoutError
            await asyncio.sleep(0.001)
        return holder

    async def trial(self, failure: str) -> float:
        """Make the holder fail, and return the seconds of the takeover or of the gap."""
        await asyncio.sleep(SETTLE_SECONDS)
        name = await self.wait_for_holder()
        process = self.processes[name]
        record_starts = [len(server.record) for server in self.servers]
        began = asyncio.get_running_loop().time()
        process.send_signal(SIGNALS[failure])
        try:
            await self.wait_for_holder(other_than=name)
        finally:
            if failure == "sigstop":
                process.send_signal(signal.SIGCONT)
        duration = asyncio.get_running_loop().time() - began
        if failure == "sigterm":  # the time without any route, the longer one of the two route servers
            gaps = []
            for server, start in zip(self.servers, record_starts, strict=True):
                withdrawn_at = min(change.time for change in server.record[start:] if change.route is None)
                announced_at = min(
                    change.time for change in server.record[start:] if change.route is not None
                )
                gaps.append(max(0.0, announced_at - withdrawn_at))
            duration = max(gaps)
        if failure != "sigstop":
            await process.wait()
            await self.start_process(name)
        return duration

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for server in self.servers:
            server.crash()
        os.close(self.log)


async def measure(trials: int, failures: tuple[str, ...]) -> dict[str, list[float]]:
    """Return the seconds of each trial by failure, and what is complete so far if it is interrupted."""
    durations: dict[str, list[float]] = {failure: [] for failure in failures}
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        try:
            await site.start()
            with click.progressbar(length=trials * len(failures), label="trials", file=sys.stderr) as bar:
                for _ in range(trials):
                    for failure in failures:
                        try:
                            durations[failure].append(await site.trial(failure))
                        except TimeoutError:
                            durations[failure].append(float("inf"))
                        bar.update(1)
        except (KeyboardInterrupt, asyncio.CancelledError):
            click.echo("\ninterrupted; the results cover the completed trials only", err=True)
        finally:
            await site.stop()
    return durations


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


@click.command()
@click.option(
    "--trials", type=click.IntRange(1, 10_000), default=200, show_default=True, help="Trials per failure."
)
@click.option("--quick", is_flag=True, help="Four trials per failure; takes under 40 s.")
@click.option(
    "--failure",
    type=click.Choice(FAILURES),
    multiple=True,
    help="Only this failure; may be given more than once.",
)
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
def main(trials: int, quick: bool, failure: tuple[str, ...], only_json: bool) -> None:
    """Measure the takeover of the service address by real processes on loopback."""
    began = time.monotonic()
    durations = asyncio.run(measure(4 if quick else trials, failure or FAILURES))
    result: dict[str, Any] = {}
    for name, values in durations.items():
        if not values:
            continue
        metric = "gap" if name == "sigterm" else "takeover"
        row = {"p50": statistics.median(values), "p99": quantile(values, 0.99), "max": max(values)}
        if not only_json:
            click.echo(
                f"{name:8} {metric:8} {len(values):4} trials  "
                + "  ".join(f"{statistic} {seconds * 1000:7.1f} ms" for statistic, seconds in row.items())
            )
        result |= {f"{metric}_{name}_{statistic}_s": round(seconds, 4) for statistic, seconds in row.items()}
        result[f"{metric}_{name}_trials"] = len(values)
    click.echo(json.dumps(result | {"took_s": round(time.monotonic() - began, 1)}))


if __name__ == "__main__":
    main()
