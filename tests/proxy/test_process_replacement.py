"""Process replacement: two real processes share one inherited listening socket, as on the platform.

On SIGTERM the old process stops accepting immediately, migrates its established connection and exits. Every
client that connects in the meantime is served by one of the two processes; none is refused, reset or left
unanswered.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from tests.admin.test_server import values
from tests.free_ports import free_port

CLIENTS = 60


def push_server() -> tuple[socket.socket, threading.Thread]:
    """Start a fake push server that answers every OPEN with UP and waits for the other side to close."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(connection: socket.socket) -> None:
        with connection:
            if connection.recv(4096).startswith(b"OPEN "):
                connection.sendall(b"UP 1\r\n")
                while connection.recv(4096):
                    pass

    def accept_connections() -> None:
        with contextlib.suppress(OSError):  # the listener is closed when the test ends
            while True:
                threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    thread = threading.Thread(target=accept_connections, daemon=True)
    thread.start()
    return listener, thread


def admin_answer(port: int, path: str) -> tuple[int, bytes]:
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as caller:
            caller.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            answer = b""
            while part := caller.recv(4096):
                answer += part
            head, _, body = answer.partition(b"\r\n\r\n")
            return int(head.split()[1]), body
    except OSError:
        return 0, b""


def start(config: Path, admin: int, listener: socket.socket) -> subprocess.Popen[bytes]:
    environment = os.environ | {"EDGE_ADMIN": f"127.0.0.1:{admin}", "EDGE_LISTEN_FD": str(listener.fileno())}
    process = subprocess.Popen(
        [sys.executable, "-m", "saltcourse", "serve", "--config", str(config)],
        env=environment,
        pass_fds=(listener.fileno(),),
        stderr=subprocess.DEVNULL,
        cwd=Path(__file__).parents[2],
    )
    for _ in range(200):
        if admin_answer(admin, "/_ready")[0] == 200:
            return process
        time.sleep(0.05)
    process.kill()
    raise AssertionError("the process did not become ready within 200 polls of /_ready")


def send_pings(address: tuple[str, int], answers: list[bytes]) -> None:
    for _ in range(CLIENTS):
        with socket.create_connection(address, timeout=2.0) as client:  # raises if refused or reset
            client.sendall(b"PING\r\n")
            answers.append(client.recv(64))
        time.sleep(0.02)


def test_a_process_is_replaced_without_refusing_any_client(tmp_path: Path) -> None:
    server, _ = push_server()
    config = values(
        known={
            "version": 1,
            "full": True,
            "servers": [{"id": "s1", "state": "SERVING", "addr": f"127.0.0.1:{server.getsockname()[1]}"}],
        }
    )
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    address = listener.getsockname()
    old_admin, new_admin = free_port(), free_port()
    old = start(path, old_admin, listener)
    established = socket.create_connection(address, timeout=3.0)
    established.sendall(b"OPEN r1 x c=live-feed,d=1000\r\n")
    assert established.recv(64) == b"UP 1\r\n"
    idle = socket.create_connection(address)  # not counted in svc.concurrent, because it sends no request
    metrics = admin_answer(old_admin, "/_vars")[1].decode().split()
    assert {
        "svc.replies.live-feed.success:1|c",
        "svc.dispatches:1|c",
        "svc.concurrent:1|g",
        "svc.targets:1|g",
        "svc.targets_disabled:0|g",
    } <= set(metrics)
    new = start(path, new_admin, listener)
    try:
        answers: list[bytes] = []
        clients = threading.Thread(target=send_pings, args=(address, answers))
        clients.start()
        time.sleep(0.2)
        old.send_signal(signal.SIGTERM)
        assert established.recv(64) == b"MOVE\r\n"  # migrated, not just closed
        assert old.wait(timeout=3.0) == 0  # exits before the platform would send SIGKILL
        clients.join()
        assert answers == [b"PONG\r\n"] * CLIENTS
        assert admin_answer(new_admin, "/_ready")[0] == 200
    finally:
        for process in (old, new):
            if process.poll() is None:
                process.kill()
                process.wait()
        established.close()
        idle.close()
        server.close()
        listener.close()
