"""The operator's own file, parsed: protobuf text format, schema in ``saltcourse/schema/operator.proto``.

Whatever is wrong raises ``ConfigError`` with the file, the line and the path of the key, such as
``operator.txtpb:7: membership.member[1].address: ...``. The sections are read in modules of their own.
"""

from __future__ import annotations

import ipaddress
import re
import stat
from pathlib import Path
from typing import NoReturn

from google.protobuf import text_format

from saltcourse.config.errors import ConfigError
from saltcourse.schema import operator_pb2 as pb

TOKEN = re.compile(r"#[^\n]*|\"(?:\\.|[^\"\\\n])*\"|'(?:\\.|[^'\\\n])*'|[A-Za-z_]\w*|[{}<>\n]|[^\s{}<>#\"']")
Place = tuple[str, int]


def key_lines(text: str) -> dict[str, int]:
    """Path of each key -> its line. Keys that may stand once have no index, the text says not which are."""
    found: dict[str, int] = {}
    counts: dict[str, int] = {}
    parents, line, last = [""], 1, ""
    for token in TOKEN.findall(text):
        if token == "\n":
            line += 1
        elif token[0] == "#":
            continue
        elif token in "{<":
            parents.append(last + ".")
        elif token in "}>":
            parents = parents[:-1] or [""]
        elif re.match(r"[A-Za-z_]", token):
            path = parents[-1] + token
            counts[path] = counts.get(path, 0) + 1
            last = f"{path}[{counts[path] - 1}]"
            found[last] = line
            found.setdefault(path, line)
    return found


class OperatorFile:
    """A parsed file, and what the readers of its sections share: checks, errors with line and key."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as wrong:
            why = getattr(wrong, "strerror", None) or "not UTF-8"
            raise ConfigError(f"--operator {path}: {why}") from None
        self.message = pb.Operator()
        try:
            text_format.Parse(text, self.message)
        except text_format.ParseError as wrong:
            said = re.sub(r"^\d+:\d+ : ", "", str(wrong))
            raise ConfigError(f"{path}:{wrong.GetLine() or 1}: {said}") from None
        self.lines = key_lines(text)

    def wrong(self, key: str, what: str) -> NoReturn:
        """The line of the key, or of the nearest part around it that is there."""
        at = key
        while at:
            # Messages name an index only where a key may repeat; the lines are kept with one everywhere.
            whole = re.sub(r"(\w)(?=\.|$)", r"\1[0]", at)
            if whole in self.lines:
                raise ConfigError(f"{self.path}:{self.lines[whole]}: {key}: {what}")
            at = at.rpartition(".")[0]
        raise ConfigError(f"{self.path}:1: {key}: {what}")

    def place(self, key: str, said: str) -> Place:
        host, colon, port = said.rpartition(":")
        host = host.strip("[]")
        try:
            ipaddress.ip_address(host)
            if colon and 0 < int(port) < 65536:
                return host, int(port)
        except ValueError:
            pass
        self.wrong(key, f"must be ADDRESS:PORT, not {said!r}")

    def address(self, key: str, said: str, version: int | None = None) -> str:
        try:
            found = ipaddress.ip_address(said)
        except ValueError:
            self.wrong(key, f"must be an IP address, not {said!r}")
        if version and found.version != version:
            self.wrong(key, f"must be an IPv{version} address, not {said!r}")
        return str(found)

    def between(self, key: str, value: float, least: float, most: float) -> float:
        if not least <= value <= most:
            self.wrong(key, f"must be from {least:g} to {most:g}, not {value:g}")
        return value

    def keys(self, key: str, said: str, least_bytes: int, most: int) -> tuple[bytes, ...]:
        """The keys in the file that ``said`` names: hexadecimal, a line each, readable by its owner only."""
        if not said:
            self.wrong(key, "missing")
        path = self.path.parent / said
        try:
            mode = path.stat().st_mode
            lines = path.read_text().split()
        except (OSError, UnicodeDecodeError) as wrong:
            self.wrong(key, f"{path}: {getattr(wrong, 'strerror', None) or 'not text'}")
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            self.wrong(key, f"{path} can be read by others: chmod 600")
        if not 1 <= len(lines) <= most:
            wanted = "one key" if most == 1 else f"from 1 to {most} keys, a line each"
            self.wrong(key, f"{path}: {wanted}, not {len(lines)}")
        try:
            keys = tuple(bytes.fromhex(line) for line in lines)
        except ValueError:
            self.wrong(key, f"{path}: a key that is not hexadecimal digits")
        if any(len(k) < least_bytes for k in keys):
            self.wrong(key, f"{path}: a key under {least_bytes} bytes ({2 * least_bytes} digits)")
        if len(set(keys)) != len(keys):
            self.wrong(key, f"{path}: the same key twice")
        return keys

    def store(self, key: str, said: str) -> Path | None:
        """Where something is kept over a restart; its folder has to be there."""
        if not said:
            return None
        path = self.path.parent / said
        if not path.parent.is_dir():
            self.wrong(key, f"no folder {path.parent}")
        return path
