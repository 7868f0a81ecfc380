"""Parses the operator's file: protobuf text format, schema in ``saltcourse/schema/operator.proto``.

Every error is a ``ConfigError`` with the file, the line and the path of the key, such as
``operator.txtpb:7: membership.member[1].address: ...``. Each section is read by its own module.
"""

from __future__ import annotations

import ipaddress
import re
import stat
from pathlib import Path
from typing import NoReturn

from google.protobuf import text_format

from saltcourse.codec.endpoint_list import Address
from saltcourse.config.errors import ConfigError, OperatorFileError
from saltcourse.schema import operator_pb2 as pb

# Tokens of the text format: comments, quoted strings, names, braces, newlines, any other character.
TOKEN = re.compile(r"#[^\n]*|\"(?:\\.|[^\"\\\n])*\"|'(?:\\.|[^'\\\n])*'|[A-Za-z_]\w*|[{}<>\n]|[^\s{}<>#\"']")
PARSER_POSITION = re.compile(r"^\d+:\d+ : ")  # "line:column : " at the start of the parser's messages
PORT_COUNT = 65_536


def key_lines(text: str) -> dict[str, int]:
    """Map the path of each key in a text-format file to its line.

    Every path has an index, because the text does not show which keys may be repeated. The first key of each
    name is also stored without an index.
    """
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    parents, line, last_path = [""], 1, ""
    for token in TOKEN.findall(text):
        if token == "\n":
            line += 1
        elif token[0] == "#":
            continue
        elif token in "{<":
            parents.append(last_path + ".")
        elif token in "}>":
            parents = parents[:-1] or [""]
        elif re.match(r"[A-Za-z_]", token):
            path = parents[-1] + token
            counts[path] = counts.get(path, 0) + 1
            last_path = f"{path}[{counts[path] - 1}]"
            lines[last_path] = line
            lines.setdefault(path, line)
    return lines


class OperatorFile:
    """A parsed file, with the checks that the readers of the sections share.

    Each check takes the path of the key, and raises ``OperatorFileError`` with the path and its line.
    """

    def __init__(self, path: Path) -> None:
        """Read and parse the file. Raises ``ConfigError``."""
        self.path = path
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not valid UTF-8"
            raise ConfigError(f"--operator {path}: {reason}") from None
        self.message = pb.Operator()
        try:
            text_format.Parse(text, self.message)
        except text_format.ParseError as error:
            reason = PARSER_POSITION.sub("", str(error))
            raise ConfigError(f"{path}:{error.GetLine() or 1}: {reason}") from None
        self._lines = key_lines(text)

    def reject(self, key: str, reason: str) -> NoReturn:
        """Raise ``OperatorFileError`` for a key and its line."""
        raise OperatorFileError(self.path, self._line_of(key), key, reason)

    def _line_of(self, key: str) -> int:
        """Return the line of the key, or of the innermost enclosing message that is present, or else 1."""
        path = key
        while path:
            # Only keys that may be repeated have an index in the path, but every stored path has one.
            indexed_path = re.sub(r"(\w)(?=\.|$)", r"\1[0]", path)
            if indexed_path in self._lines:
                return self._lines[indexed_path]
            path = path.rpartition(".")[0]
        return 1

    def socket_address(self, key: str, text: str) -> Address:
        """Parse ADDRESS:PORT; the brackets around an IPv6 address are optional."""
        host, colon, port = text.rpartition(":")
        host = host.strip("[]")
        try:
            ipaddress.ip_address(host)
            if colon and 0 < int(port) < PORT_COUNT:
                return host, int(port)
        except ValueError:
            pass
        self.reject(key, f"must be ADDRESS:PORT, not {text!r}")

    def ip_address(self, key: str, text: str, version: int | None = None) -> str:
        """Return the canonical text of an IP address, which must be of ``version`` if that is given."""
        try:
            address = ipaddress.ip_address(text)
        except ValueError:
            self.reject(key, f"must be an IP address, not {text!r}")
        if version and address.version != version:
            self.reject(key, f"must be an IPv{version} address, not {text!r}")
        return str(address)

    def number_between(self, key: str, value: float, minimum: float, maximum: float) -> float:
        """Return the number if it is within the bounds, both inclusive."""
        if not minimum <= value <= maximum:
            self.reject(key, f"must be from {minimum:g} to {maximum:g}, not {value:g}")
        return value

    def secret_keys(self, key: str, file_name: str, min_key_bytes: int, max_keys: int) -> tuple[bytes, ...]:
        """Read a file of secret keys: one key of hexadecimal digits per line, accessible to the owner only.

        ``file_name`` is relative to the directory of the operator's file.
        """
        if not file_name:
            self.reject(key, "missing")
        path = self.path.parent / file_name
        lines = self._read_private_lines(key, path)
        if not 1 <= len(lines) <= max_keys:
            expected = "one key" if max_keys == 1 else f"from 1 to {max_keys} keys, one per line"
            self.reject(key, f"{path}: must have {expected}, not {len(lines)}")
        try:
            secrets = tuple(bytes.fromhex(line) for line in lines)
        except ValueError:
            self.reject(key, f"{path}: each key must consist of hexadecimal digits, two per byte")
        if any(len(secret) < min_key_bytes for secret in secrets):
            self.reject(
                key, f"{path}: each key must have at least {min_key_bytes} bytes ({2 * min_key_bytes} digits)"
            )
        if len(set(secrets)) != len(secrets):
            self.reject(key, f"{path}: duplicate key")
        return secrets

    def _read_private_lines(self, key: str, path: Path) -> list[str]:
        """Return the keys in a file, which must not be accessible to its group or to others."""
        try:
            mode = path.stat().st_mode
            lines = path.read_text().split()
        except (OSError, UnicodeDecodeError) as error:
            self.reject(key, f"{path}: {getattr(error, 'strerror', None) or 'not valid UTF-8'}")
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            self.reject(key, f"{path} is accessible to its group or to others; its mode must be 600")
        return lines

    def store_path(self, key: str, file_name: str) -> Path | None:
        """Return the path of a file that keeps state across restarts, or None if no name is given.

        The directory of the file must exist.
        """
        if not file_name:
            return None
        path = self.path.parent / file_name
        if not path.parent.is_dir():
            self.reject(key, f"directory {path.parent} does not exist")
        return path
