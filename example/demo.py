"""The main job in one terminal: readers come and go, a push server drains, its readers are told MOVE and come
back elsewhere, and the proxy itself leaves cleanly. About twelve seconds; exit code 1 if anybody was cut off.
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
SECONDS = 9.0
HERE = Path(__file__).parent
seen: Counter[str] = Counter()


def say(text: str) -> None:
    print(f"{asyncio.get_running_loop().time() - began:5.1f} s  {text}", flush=True)


async def reader(number: int, port: int, leaving: asyncio.Event, draw: random.Random) -> None:
    """One app: connects, reads, leaves after a while; told to move or refused, it comes back."""
    while not leaving.is_set():
        try:
            stream, writer = await asyncio.open_connection(HOST, port)
            writer.write(open_line())
            first = (await stream.readline()).decode().split()
            word = first[0] if first else "CUT"
            seen[word] += 1
            if word == "BUSY":
                await asyncio.sleep(int(first[1]) / 1000 if len(first) > 1 else 0.5)
                continue
            stays = asyncio.get_running_loop().time() + draw.uniform(2.0, 6.0)
            while word == "UP":
                left = stays - asyncio.get_running_loop().time()
                try:
                    line = await asyncio.wait_for(stream.readline(), max(0.01, left))
                except TimeoutError:
                    seen["left by themselves"] += 1
                    break
                told = line.split()[:1]
                if told == [b"HEADLINE"]:
                    seen["HEADLINE"] += 1
                elif told != [b"HEARD"]:
                    seen["MOVE" if told == [b"MOVE"] else "CUT"] += 1
                    break
            writer.close()
        except OSError:
            if leaving.is_set():
                return
            seen["CUT"] += 1
        await asyncio.sleep(draw.uniform(0.05, 0.3))


async def main() -> int:
    global began
    began = asyncio.get_running_loop().time()
    platform = Platform({"toy-1": 0, "toy-2": 0, "toy-3": 0}, headline_every=1.0)
    discovery = await platform.start(0)
    say(f"three push servers and discovery are up: {', '.join(platform.ports)}")
    config: dict[str, Any] = json.loads((HERE / "config.json").read_text())
    with tempfile.TemporaryDirectory() as folder:
        with socket.create_server((HOST, 0)) as free:
            port = int(free.getsockname()[1])
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
            return await show(platform, proxy, port)
        finally:
            if proxy.returncode is None:
                proxy.kill()
            await proxy.wait()


async def up(port: int) -> bool:
    for _ in range(100):
        try:
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            return True
        except OSError:
            await asyncio.sleep(0.05)
    return False


async def show(platform: Platform, proxy: asyncio.subprocess.Process, port: int) -> int:
    if not await up(port):
        say("the proxy does not listen: see above")
        return 1
    say(f"the proxy listens; {READERS} readers come")
    leaving = asyncio.Event()
    tasks = [asyncio.create_task(reader(i, port, leaving, random.Random(i))) for i in range(READERS)]
    await asyncio.sleep(SECONDS / 3)
    say(f"connections taken: {dict(platform.taken)}")
    drained = max(platform.taken, key=lambda name: platform.taken[name])
    moved = seen["MOVE"]
    platform.drain(drained)
    say(f"{drained} drains")
    await asyncio.sleep(1.0)
    say(f"{seen['MOVE'] - moved} readers were told MOVE and came back elsewhere")
    at_drain = platform.taken[drained]
    await asyncio.sleep(SECONDS * 2 / 3 - 1.0)
    late = platform.taken[drained] - at_drain
    moved = seen["MOVE"]
    leaving.set()
    proxy.send_signal(signal.SIGTERM)
    say("the proxy is told to leave (SIGTERM)")
    code = await proxy.wait()
    await asyncio.wait(tasks, timeout=2)
    say(f"it has left with exit code {code}; {seen['MOVE'] - moved} readers were told MOVE")
    say(
        f"summary: {seen['UP']} served, {seen['BUSY']} refused, {seen['ERR']} failed, {seen['MOVE']} moved, "
        f"{seen['left by themselves']} left by themselves, {seen['HEADLINE']} headlines, "
        f"{late} sent to the drained server, {seen['CUT']} cut off"
    )
    return 1 if code or late or seen["CUT"] or seen["ERR"] else 0


if __name__ == "__main__":
    began = 0.0
    try:
        sys.exit(asyncio.run(main()))
    except KeyboardInterrupt:
        sys.exit(130)
