"""A new configuration moves discovery, which is slow; sends to draining push servers must stop in time."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
import signal
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
from rig import (  # noqa: E402
    HOST,
    CannotRunError,
    Case,
    Discovery,
    Process,
    PushServer,
    entry,
    free_port,
    run_case,
    until_pong,
)

PROXIES = 2
SERVERS = 12
ARRIVALS_PER_SECOND = 8.0  # at all proxies together
STAY_SECONDS = 4.0
RUN_BEFORE_SECONDS = 5.0
RUN_AFTER_SECONDS = 9.0
TOLD_AFTER_SECONDS = 4.0  # from SIGHUP: from then on what the new discovery has counts as told
DRAIN_GRACE_SECONDS = 0.5
SLACK_SECONDS = 0.05  # every time limit is 50 ms longer on sockets
SLOW_SECONDS = 2.6  # how long a call waits for its turn; one that waits for 3 s fails
OLD_CLOSES_SECONDS = 1.5  # the old address closes the open connections so long after SIGHUP
FIRST_DRAIN_SECONDS, DRAIN_STEP_SECONDS = 0.2, 0.2  # after SIGHUP; half of the push servers, in steps
SETTINGS: dict[str, Any] = {
    "balancers": PROXIES,
    "classes": [
        {"name": "live-captions", "aim": 0.3, "give_up": 1.8, "repeat": "safe", "streamed": True, "worth": 2},
        {"name": "draft-minutes", "aim": 0.8, "give_up": 4.8, "repeat": "safe", "streamed": True},
        {"name": "speaker-tags", "aim": 0.5, "give_up": 2.0, "repeat": "safe", "streamed": True, "worth": 3},
    ],
    "discovery": "on_request",
    "extra": {"message_aim": [0.15, 0.06, 0.05], "mode": "proxy", "tells_load": True},
    "limits": {"connect_timeout": 0.15, "max_retry_after": 2.0, "may_probe": False, "send_cap": 3},
    "obligations": {
        "ask_within": 10.0,
        "drain_grace": DRAIN_GRACE_SECONDS,
        "overload_factor": 3.0,
        "overload_for": 3.0,
        "start_capacity": 0.3,
        "warm_after": 8.7,
    },
    "report": {"fields": [], "how": "silent"},
}


def write_config(case: Case, index: int, port: int, discovery: Discovery) -> Path:
    """Write the configuration of a proxy."""
    name = f"n{index + 1}"
    return case.write_config(
        f"{name}.json",
        {
            "name": name,
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": secrets.token_hex(8),
            "known": discovery.snapshot(),
            "settings": SETTINGS | {"self_index": index},
        },
    )


async def client(case: Case, port: int, request_class: str, deadline_ms: int) -> None:
    """Send one request, stay for a while if it is served, and leave."""
    request = secrets.token_hex(8)
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(f"OPEN {request} {secrets.token_hex(8)} c={request_class},d={deadline_ms}\r\n".encode())
        answer = await reader.readline()
        case.log(f"client: {request} at port {port}: {answer!r}")
        if answer.startswith(b"UP "):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(), STAY_SECONDS)
        writer.close()


async def send_clients(case: Case, ports: list[int]) -> None:
    """Send clients to the proxies in turn."""
    tasks: set[asyncio.Task[None]] = set()
    classes = [(each["name"], round(1000 * each["give_up"])) for each in SETTINGS["classes"]]
    for port, (name, deadline_ms) in zip(itertools.cycle(ports), itertools.cycle(classes), strict=False):
        task = asyncio.create_task(client(case, port, name, deadline_ms))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / ARRIVALS_PER_SECOND)


async def move_discovery(
    case: Case, old: Discovery, new: Discovery, proxies: list[tuple[Process, int]]
) -> float:
    """Write the new configurations and send SIGHUP; return the time of it (s)."""
    for index, (_, port) in enumerate(proxies):
        write_config(case, index, port, new)
    old.stop_listening()
    for process, _ in proxies:
        process.signal(signal.SIGHUP)
    case.log(f"SIGHUP to all proxies: discovery moves from port {old.port} to port {new.port}")
    asyncio.get_running_loop().call_later(OLD_CLOSES_SECONDS, old.close_open_calls)
    return case.now()


async def drain(case: Case, discovery: Discovery, servers: list[PushServer]) -> None:
    """Let half of the push servers drain, one after another."""
    await asyncio.sleep(FIRST_DRAIN_SECONDS)
    for server in servers[: SERVERS // 2]:
        server.draining = True
        discovery.change(server.name, "DRAINING")
        await asyncio.sleep(DRAIN_STEP_SECONDS)


async def play(case: Case) -> bool:
    """Play the case and return whether the rule was broken."""
    servers = [PushServer(case, f"s-{number:02}") for number in range(SERVERS)]
    for server in servers:
        await server.start()
    listed = {each.name: entry(each.name, each.port) for each in servers}
    old, new = Discovery(case, "old discovery", listed), Discovery(case, "new discovery", listed)
    for discovery in (old, new):
        await discovery.start()
    new.delay = SLOW_SECONDS if case.trouble else 0.0
    ports = [free_port() for _ in range(PROXIES)]
    proxies = []
    for index, port in enumerate(ports):
        config = write_config(case, index, port, old)
        proxies.append((case.start(f"n{index + 1}", {"EDGE_CONFIG": str(config)}), port))
    for process, port in proxies:
        await until_pong(case, process, port)
    clients = asyncio.create_task(send_clients(case, ports))
    await asyncio.sleep(RUN_BEFORE_SECONDS)
    moved_at = await move_discovery(case, old, new, proxies)
    await drain(case, new, servers)
    await asyncio.sleep(moved_at + RUN_AFTER_SECONDS - case.now())
    clients.cancel()
    if any(process.ended for process, _ in proxies):
        raise CannotRunError("a proxy has ended")
    return judge(case, servers, moved_at)


def judge(case: Case, servers: list[PushServer], moved_at: float) -> bool:
    """Return whether a draining push server got new work after the grace."""
    last = TOLD_AFTER_SECONDS + DRAIN_GRACE_SECONDS + SLACK_SECONDS
    late = 0
    for server in servers[: SERVERS // 2]:
        sends = [round(time - moved_at, 3) for time, _ in server.opens if time > moved_at]
        late += sum(time > last for time in sends)
        case.log(f"{server.name}, draining: OPEN lines came {sends} s after SIGHUP")
    case.log(f"{late} of them came later than {last:.2f} s after SIGHUP")
    return late > 0


if __name__ == "__main__":
    run_case(FOLDER, play)
