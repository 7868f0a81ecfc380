"""A demo of the proxy in one terminal, which takes about twelve seconds.

Clients ("readers") connect and disconnect, a push server drains and its clients are migrated, and finally the
proxy drains and exits. The exit code is 1 if a connection was cut or failed, if the drained push server got a
new connection, or if the proxy exited with an error.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from toy import HOST, Platform, open_line

READERS = 12
DEMO_SECONDS = 9.0
DEFAULT_RETRY_AFTER = 0.5  # seconds; used if BUSY does not name a delay
HERE = Path(__file__).parent
outcomes: Counter[str] = Counter()  # first words of answers, and events, over all readers


def report(text: str) -> None:
    """Print a line with the seconds since the start."""
    print(f"{asyncio.get_running_loop().time() - started:5.1f} s  {text}", flush=True)


async def reader(number: int, port: int, stopping: asyncio.Event, random_source: random.Random) -> None:
    """Run one client, which connects, reads for a while, disconnects and reconnects until ``stopping``."""
    while not stopping.is_set():
        try:
            stream, writer = await asyncio.open_connection(HOST, port)
            writer.write(open_line())
            first = (await stream.readline()).decode().split()
            answer = first[0] if first else "CUT"
            outcomes[answer] += 1
            if answer == "BUSY":
                await asyncio.sleep(int(first[1]) / 1000 if len(first) > 1 else DEFAULT_RETRY_AFTER)
                continue
            disconnect_at = asyncio.get_running_loop().time() + random_source.uniform(2.0, 6.0)
            while answer == "UP":
                time_left = disconnect_at - asyncio.get_running_loop().time()
                try:
                    line = await asyncio.wait_for(stream.readline(), max(0.01, time_left))
                except TimeoutError:
                    outcomes["disconnected"] += 1
                    break
                keyword = line.split()[:1]
                if keyword == [b"HEADLINE"]:
                    outcomes["HEADLINE"] += 1
                elif keyword != [b"HEARD"]:
                    outcomes["MOVE" if keyword == [b"MOVE"] else "CUT"] += 1
                    break
            writer.close()
        except OSError:
            if stopping.is_set():
                return
            outcomes["CUT"] += 1
        await asyncio.sleep(random_source.uniform(0.05, 0.3))


async def main() -> int:
    global started
    started = asyncio.get_running_loop().time()
    platform = Platform({"toy-1": 0, "toy-2": 0, "toy-3": 0}, headline_every=1.0)
    discovery = await platform.start(0)
    report(f"discovery and three push servers are listening: {', '.join(platform.ports)}")
    config: dict[str, Any] = json.loads((HERE / "config.json").read_text())
    with tempfile.TemporaryDirectory() as folder:
        with socket.create_server((HOST, 0)) as free_socket:
            port = int(free_socket.getsockname()[1])
        config |= {"listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery}"}
        file = Path(folder) / "config.json"
        file.write_text(json.dumps(config))
        with open(Path(folder) / "log", "w") as log:
            proxy = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "saltcourse",
                "serve",
                "--config",
                str(file),
                cwd=HERE.parent,
                stderr=log,
            )
        try:
            return await run_demo(platform, proxy, port)
        finally:
            if proxy.returncode is None:
                proxy.kill()
            await proxy.wait()


async def wait_until_listening(port: int) -> bool:
    for _ in range(100):
        try:
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            return True
        except OSError:
            await asyncio.sleep(0.05)
    return False


async def run_demo(platform: Platform, proxy: asyncio.subprocess.Process, port: int) -> int:
    if not await wait_until_listening(port):
        report("the proxy did not start listening within 5 s")
        return 1
    report(f"the proxy is listening; {READERS} readers connect")
    stopping = asyncio.Event()
    tasks = [asyncio.create_task(reader(i, port, stopping, random.Random(i))) for i in range(READERS)]
    await asyncio.sleep(DEMO_SECONDS / 3)
    report(f"connections accepted by push server: {dict(platform.accepted)}")
    drained = max(platform.accepted, key=lambda name: platform.accepted[name])
    migrated = outcomes["MOVE"]
    platform.drain(drained)
    report(f"{drained} is draining")
    await asyncio.sleep(1.0)
    report(f"{outcomes['MOVE'] - migrated} readers were migrated and reconnected elsewhere")
    accepted_before = platform.accepted[drained]
    await asyncio.sleep(DEMO_SECONDS * 2 / 3 - 1.0)
    accepted_while_draining = platform.accepted[drained] - accepted_before
    migrated = outcomes["MOVE"]
    stopping.set()
    proxy.send_signal(signal.SIGTERM)
    report("SIGTERM sent to the proxy")
    code = await proxy.wait()
    await asyncio.wait(tasks, timeout=2)
    report(f"the proxy exited with code {code}; {outcomes['MOVE'] - migrated} readers were migrated")
    report(
        f"summary: {outcomes['UP']} served, {outcomes['BUSY']} rejected, {outcomes['ERR']} failed, "
        f"{outcomes['MOVE']} migrated, {outcomes['disconnected']} disconnected, "
        f"{outcomes['HEADLINE']} headlines, "
        f"{accepted_while_draining} accepted by the drained server, {outcomes['CUT']} cut off"
    )
    return 1 if code or accepted_while_draining or outcomes["CUT"] or outcomes["ERR"] else 0


if __name__ == "__main__":
    started = 0.0
    try:
        sys.exit(asyncio.run(main()))
    except KeyboardInterrupt:
        sys.exit(130)
