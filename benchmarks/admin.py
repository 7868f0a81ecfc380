"""How fast the admin address answers beside a crowd: ``python benchmarks/admin.py [--quick] [--json]``.

One proxy runs as a real process on loopback. Beside it other callers hold admin connections with
half a call, and clients that connect to the clients' port and say nothing or half a line. Each trial
asks `/_ready` and `/_vars` once; the time is from connecting to the last byte of the answer. The control
is the same calls with nobody else there, in the same run. The last line is one JSON object.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parents[1]


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def ask(port: int, path: str) -> float:
    began = time.perf_counter()
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as caller:
        caller.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        while caller.recv(65536):
            pass
    return time.perf_counter() - began


def trials(port: int, count: int) -> list[float]:
    return [ask(port, path) for _ in range(count) for path in ("/_ready", "/_vars")]


def crowd(admin: int, clients: int, slow: int, idle: int) -> list[socket.socket]:
    held = []
    for _ in range(slow):
        caller = socket.create_connection(("127.0.0.1", admin))
        caller.sendall(b"GET /_rea")
        held.append(caller)
    for number in range(idle):
        client = socket.create_connection(("127.0.0.1", clients))
        if number % 2:
            client.sendall(b"OPEN half")
        held.append(client)
    return held


@click.command()
@click.option("--quick", is_flag=True, help="Fewer trials, smaller crowd; within 40 s.")
@click.option("--json", "as_json", is_flag=True, help="Only the JSON line.")
def main(quick: bool, as_json: bool) -> None:
    count, slow, idle = (50, 40, 200) if quick else (300, 64, 1000)
    config = json.loads((ROOT / "example" / "config.json").read_text())
    admin, clients = free_port(), free_port()
    config.update(
        listen=f"127.0.0.1:{clients}",
        admin=f"127.0.0.1:{admin}",
        discovery="127.0.0.1:9",
        known={
            "version": 1,
            "full": True,
            "servers": [{"id": "s1", "state": "SERVING", "addr": "127.0.0.1:9"}],
        },
    )
    config["limits"]["sockets"] = 4096
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-m", "saltcourse", "serve", "--config", str(path)],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stderr=subprocess.DEVNULL,
        )
        try:
            for _ in range(100):
                try:
                    ask(admin, "/_ready")
                    break
                except OSError:
                    time.sleep(0.05)
            alone = trials(admin, count)
            held = crowd(admin, clients, slow, idle)
            beside = trials(admin, count)
            for each in held:
                each.close()
        finally:
            process.terminate()
            process.wait(timeout=10)
    figures = {
        "calls": len(beside),
        "slow_callers": slow,
        "idle_clients": idle,
        "alone_p50_ms": round(1000 * statistics.median(alone), 2),
        "beside_p50_ms": round(1000 * statistics.median(beside), 2),
        "beside_p99_ms": round(1000 * sorted(beside)[int(0.99 * len(beside))], 2),
        "beside_max_ms": round(1000 * max(beside), 2),
        "beside_over_alone_p50_ratio": round(statistics.median(beside) / statistics.median(alone), 2),
        "over_1s": sum(t > 1.0 for t in beside),
    }
    if not as_json:
        for key, value in figures.items():
            click.echo(f"{key:30} {value}")
    click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
