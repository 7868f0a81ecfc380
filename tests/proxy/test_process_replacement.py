"""Replacing the process: two real processes share one inherited listening socket, as the platform does it.

The old one, on SIGTERM, accepts no more at once, migrates its established connection and exits by itself.
Every client that connects meanwhile is served by one of the two, none refused, reset or left unread.
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

from tests.admin.test_server import free_port, values

CLIENTS = 60


def push_server() -> tuple[socket.socket, threading.Thread]:
    """A stand-in push server: UP to every OPEN, then holds the connection until the other side ends."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(connection: socket.socket) -> None:
        with connection:
            if connection.recv(4096).startswith(b"OPEN "):
                connection.sendall(b"UP 1\r\n")
                while connection.recv(4096):
                    pass

    def take() -> None:
        with contextlib.suppress(OSError):  # closed: the test is over
            while True:
                threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    thread = threading.Thread(target=take, daemon=True)
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
    raise AssertionError("the process never said it was ready")


def pings(address: tuple[str, int], answers: list[bytes]) -> None:
    for _ in range(CLIENTS):
        with socket.create_connection(address, timeout=2.0) as client:  # refused or reset: the test fails
            client.sendall(b"PING\r\n")
            answers.append(client.recv(64))
        time.sleep(0.02)


def test_the_old_process_hands_over_and_no_client_is_refused(tmp_path: Path) -> None:
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
    idle = socket.create_connection(address)  # says nothing: no connection asked for, not counted
    figures = admin_answer(old_admin, "/_vars")[1].decode().split()
    assert {
        "svc.replies.live-feed.success:1|c",
        "svc.dispatches:1|c",
        "svc.concurrent:1|g",
        "svc.targets:1|g",
        "svc.targets_disabled:0|g",
    } <= set(figures)
    new = start(path, new_admin, listener)
    try:
        answers: list[bytes] = []
        clients = threading.Thread(target=pings, args=(address, answers))
        clients.start()
        time.sleep(0.2)
        old.send_signal(signal.SIGTERM)
        assert established.recv(64) == b"MOVE\r\n"  # ended in good order, not cut
        assert old.wait(timeout=3.0) == 0  # by itself, before the platform's SIGKILL would come
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
