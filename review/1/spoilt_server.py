"""A push server of its own process. After SIGUSR1 its answers to new connections are spoilt and never end.

It prints its port, then a line for each connection. Until SIGUSR1, and on the connections that it has by
then, it serves as a sound push server does: UP, and a line for each line.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import threading
import time
from types import FrameType

SPOILT_ANSWER = b"LOAD 5000\r\n" * 4000  # lines that may stand among a push server's lines, and never an UP
LONGEST_SECONDS = 60.0  # so that the process ends even if nobody ends it
is_spoilt = threading.Event()


def serve(connection: socket.socket) -> None:
    """Serve one connection until it ends."""
    with contextlib.suppress(OSError), connection, connection.makefile("rb") as lines:
        first = lines.readline()
        if not first.startswith(b"OPEN "):
            connection.sendall(b"NO\r\n")
            return
        request = first.split()[1].decode()
        if is_spoilt.is_set():
            print(f"OPEN {request} -> LOAD lines without end", flush=True)
            send_without_end(connection, request)
            return
        print(f"OPEN {request} -> UP", flush=True)
        connection.sendall(b"UP " + first.split()[1] + b"\r\n")
        while line := lines.readline():
            connection.sendall(b"HEARD " + line)


def send_without_end(connection: socket.socket, request: str) -> None:
    """Send the spoilt answer until the proxy ends the connection."""
    started, sent = time.monotonic(), 0
    try:
        while time.monotonic() < started + LONGEST_SECONDS:
            sent += connection.send(SPOILT_ANSWER)
    except OSError:
        print(f"{request}: the proxy ended the connection", flush=True)
    seconds = time.monotonic() - started
    print(f"{request}: sent {sent} bytes in {seconds:.2f} s", flush=True)


def spoil(number: int, frame: FrameType | None) -> None:
    """Spoil the answers from now on."""
    is_spoilt.set()


def main() -> None:
    """Accept connections until killed."""
    signal.signal(signal.SIGUSR1, spoil)
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        print(listener.getsockname()[1], flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main()
