"""How long the service address stays without a holder: ``python benchmarks/takeover.py [--quick]``.

Two proxies and a witness run as real processes on loopback, with two stand-in route servers and a toy
platform. In each trial the holder meets one failure; time is taken from the failure to the first moment at
which another instance's route is the best at both route servers (by what they hold, not by our own books).
For a planned leave the gap counts in which no route is there. The last line is one JSON object.
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
PATIENCE = 20.0  # s after which a trial counts as failed
SETTLE = 1.5  # s between trials, so that a returned member's sessions are established


class Site:
    def __init__(self, folder: Path) -> None:
        self.folder, self.env = folder, {**os.environ, "PYTHONPATH": str(ROOT)}
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
        places = {name: self._free(kind) for name, kind in kinds.items()}
        roles = {"a": "priority: 2", "b": "priority: 1", "w": "witness: true"}
        members = "".join(
            f'  member {{ name: "{n}" address: "127.0.0.1:{p}" {roles[n]} }}\n' for n, p in places.items()
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
            config |= {"name": name, "listen": f"127.0.0.1:{self._free(socket.SOCK_STREAM)}"}
            (self.folder / f"{name}.json").write_text(json.dumps(config))
            await self.start_one(name)

    @staticmethod
    def _free(kind: int) -> int:
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind(("127.0.0.1", 0))
            return int(sock.getsockname()[1])

    async def start_one(self, name: str) -> None:
        words = ["witness"] if name == "w" else ["serve", "--config", str(self.folder / f"{name}.json")]
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "saltcourse",
            *words,
            "--operator",
            str(self.folder / f"{name}.txtpb"),
            cwd=self.folder,
            env=self.env,
            stderr=self.log,
        )

    def holder(self) -> str:
        """Whose route is the best at both; empty where they differ or there is none."""
        hops = {str(r.next_hop) if (r := s.best(ADDRESS)) else "" for s in self.servers}
        return {"10.0.0.1": "a", "10.0.0.2": "b"}.get(hops.pop(), "") if len(hops) == 1 else ""

    async def held(self, but: str = "") -> str:
        began = time.monotonic()
        while not (found := self.holder()) or found == but:
            if time.monotonic() - began > PATIENCE:
                raise TimeoutError
            await asyncio.sleep(0.001)
        return found

    async def trial(self, failure: str) -> float:
        """Seconds."""
        await asyncio.sleep(SETTLE)
        name = await self.held()
        process = self.processes[name]
        marks = [len(s.record) for s in self.servers]
        began = asyncio.get_running_loop().time()
        process.send_signal(SIGNALS[failure])
        try:
            await self.held(but=name)
        finally:
            if failure == "sigstop":
                process.send_signal(signal.SIGCONT)
        took = asyncio.get_running_loop().time() - began
        if failure == "sigterm":  # the gap without any route, the longer of both records
            gaps = []
            for server, mark in zip(self.servers, marks, strict=True):
                gone = min(change.time for change in server.record[mark:] if change.route is None)
                new = min(change.time for change in server.record[mark:] if change.route is not None)
                gaps.append(max(0.0, new - gone))
            took = max(gaps)
        if failure != "sigstop":
            await process.wait()
            await self.start_one(name)
        return took

    async def end(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for server in self.servers:
            server.crash()
        os.close(self.log)


async def measure(trials: int, failures: tuple[str, ...]) -> dict[str, list[float]]:
    found: dict[str, list[float]] = {f: [] for f in failures}
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        try:
            await site.start()
            with click.progressbar(length=trials * len(failures), label="trials", file=sys.stderr) as bar:
                for _ in range(trials):
                    for failure in failures:
                        try:
                            found[failure].append(await site.trial(failure))
                        except TimeoutError:
                            found[failure].append(float("inf"))
                        bar.update(1)
        except (KeyboardInterrupt, asyncio.CancelledError):
            click.echo("\nstopped; what follows is what had ended", err=True)
        finally:
            await site.end()
    return found


def share(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


@click.command()
@click.option(
    "--trials", type=click.IntRange(1, 10_000), default=200, show_default=True, help="Of each failure."
)
@click.option("--quick", is_flag=True, help="Four trials of each failure, under 40 s.")
@click.option("--failure", type=click.Choice(FAILURES), multiple=True, help="Only these.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
def main(trials: int, quick: bool, failure: tuple[str, ...], only_json: bool) -> None:
    """Measure takeover by real processes and stand-in route servers on loopback."""
    began = time.monotonic()
    found = asyncio.run(measure(4 if quick else trials, failure or FAILURES))
    result: dict[str, Any] = {}
    for name, values in found.items():
        if not values:
            continue
        what = "gap" if name == "sigterm" else "takeover"
        row = {"p50": statistics.median(values), "p99": share(values, 0.99), "max": max(values)}
        if not only_json:
            click.echo(
                f"{name:8} {what:8} {len(values):4} trials  "
                + "  ".join(f"{k} {v * 1000:7.1f} ms" for k, v in row.items())
            )
        result |= {f"{what}_{name}_{k}_s": round(v, 4) for k, v in row.items()}
        result[f"{what}_{name}_trials"] = len(values)
    click.echo(json.dumps(result | {"took_s": round(time.monotonic() - began, 1)}))


if __name__ == "__main__":
    main()
