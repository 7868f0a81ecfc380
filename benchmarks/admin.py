"""Benchmark of the admin address under load: ``python benchmarks/admin.py [--quick] [--json]``.

One proxy runs as a real process on loopback. Each trial requests ``/_ready`` and ``/_vars`` once and measures
the time from connecting to the last byte of the response: first without other load (the control, ``alone_*``
in the output), then while other sockets hold incomplete admin requests, and client connections that have sent
nothing or part of a line (``beside_*``). Times are in milliseconds. The last line is one JSON object.
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


def request(port: int, path: str) -> float:
    """Return the seconds that one admin request takes."""
    began = time.perf_counter()
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as caller:
        caller.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        while caller.recv(65536):
            pass
    return time.perf_counter() - began


def response_times(port: int, count: int) -> list[float]:
    return [request(port, path) for _ in range(count) for path in ("/_ready", "/_vars")]


def open_incomplete_connections(
    admin: int, listen: int, slow_callers: int, idle_clients: int
) -> list[socket.socket]:
    """Open admin connections with part of a request, and client connections with part of a line or none."""
    connections = []
    for _ in range(slow_callers):
        caller = socket.create_connection(("127.0.0.1", admin))
        caller.sendall(b"GET /_rea")
        connections.append(caller)
    for number in range(idle_clients):
        client = socket.create_connection(("127.0.0.1", listen))
        if number % 2:
            client.sendall(b"OPEN half")
        connections.append(client)
    return connections


@click.command()
@click.option("--quick", is_flag=True, help="Fewer trials and connections; takes under 40 s.")
@click.option("--json", "as_json", is_flag=True, help="Print the JSON object only.")
def main(quick: bool, as_json: bool) -> None:
    """Measure the response time of the admin address with and without other connections."""
    trials, slow_callers, idle_clients = (50, 40, 200) if quick else (300, 64, 1000)
    config = json.loads((ROOT / "example" / "config.json").read_text())
    admin, listen = free_port(), free_port()
    config.update(
        listen=f"127.0.0.1:{listen}",
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
                    request(admin, "/_ready")
                    break
                except OSError:
                    time.sleep(0.05)
            unloaded = response_times(admin, trials)
            connections = open_incomplete_connections(admin, listen, slow_callers, idle_clients)
            loaded = response_times(admin, trials)
            for connection in connections:
                connection.close()
        finally:
            process.terminate()
            process.wait(timeout=10)
    figures = {
        "calls": len(loaded),
        "slow_callers": slow_callers,
        "idle_clients": idle_clients,
        "alone_p50_ms": round(1000 * statistics.median(unloaded), 2),
        "beside_p50_ms": round(1000 * statistics.median(loaded), 2),
        "beside_p99_ms": round(1000 * sorted(loaded)[int(0.99 * len(loaded))], 2),
        "beside_max_ms": round(1000 * max(loaded), 2),
        "beside_over_alone_p50_ratio": round(statistics.median(loaded) / statistics.median(unloaded), 2),
        "over_1s": sum(seconds > 1.0 for seconds in loaded),
    }
    if not as_json:
        for key, value in figures.items():
            click.echo(f"{key:30} {value}")
    click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
