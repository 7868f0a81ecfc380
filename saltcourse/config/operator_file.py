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

from saltcourse.codec.endpoint_list import Address
from saltcourse.config.errors import ConfigError, OperatorFileError
from saltcourse.schema import operator_pb2 as pb

# Tokens of the text format: comments, quoted strings, names, braces, line ends, any other character.
TOKEN = re.compile(r"#[^\n]*|\"(?:\\.|[^\"\\\n])*\"|'(?:\\.|[^'\\\n])*'|[A-Za-z_]\w*|[{}<>\n]|[^\s{}<>#\"']")
PARSER_POSITION = re.compile(r"^\d+:\d+ : ")  # the parser's own "line:column : " before its message
PORT_COUNT = 65_536


def key_lines(text: str) -> dict[str, int]:
    """Map the path of each key in a text-format file to its line.

    Each path is there with an index, the first of its name without one too: the text does not say which
    keys may be repeated.
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
    """A parsed file, and the checks that the readers of its sections share.

    Each check takes the path of the key, and raises ``OperatorFileError`` with it and its line.
    """

    def __init__(self, path: Path) -> None:
        """Read and parse the file; raises ``ConfigError``."""
        self.path = path
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not UTF-8"
            raise ConfigError(f"--operator {path}: {reason}") from None
        self.message = pb.Operator()
        try:
            text_format.Parse(text, self.message)
        except text_format.ParseError as error:
            reason = PARSER_POSITION.sub("", str(error))
            raise ConfigError(f"{path}:{error.GetLine() or 1}: {reason}") from None
        self._lines = key_lines(text)

    def reject(self, key: str, reason: str) -> NoReturn:
        """Raise ``OperatorFileError`` for a key."""
        raise OperatorFileError(self.path, self._line_of(key), key, reason)

    def _line_of(self, key: str) -> int:
        """The line of the key, or of the nearest message around it that is there; 1 if none is."""
        path = key
        while path:
            # A key is named with an index only where it may repeat; the lines are stored with one everywhere.
            indexed_path = re.sub(r"(\w)(?=\.|$)", r"\1[0]", path)
            if indexed_path in self._lines:
                return self._lines[indexed_path]
            path = path.rpartition(".")[0]
        return 1

    def socket_address(self, key: str, text: str) -> Address:
        """Parse ADDRESS:PORT, an IPv6 address in brackets or bare."""
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
        """Parse an IP address, of the given version if any, into its canonical text."""
        try:
            address = ipaddress.ip_address(text)
        except ValueError:
            self.reject(key, f"must be an IP address, not {text!r}")
        if version and address.version != version:
            self.reject(key, f"must be an IPv{version} address, not {text!r}")
        return str(address)

    def number_between(self, key: str, value: float, minimum: float, maximum: float) -> float:
        """Check a number against its bounds, both included."""
        if not minimum <= value <= maximum:
            self.reject(key, f"must be from {minimum:g} to {maximum:g}, not {value:g}")
        return value

    def secret_keys(self, key: str, file_name: str, min_key_bytes: int, max_keys: int) -> tuple[bytes, ...]:
        """Read a file of keys: hexadecimal digits, one key a line, readable by the file's owner only.

        ``file_name`` is relative to the folder of the operator's file.
        """
        if not file_name:
            self.reject(key, "missing")
        path = self.path.parent / file_name
        lines = self._read_private_lines(key, path)
        if not 1 <= len(lines) <= max_keys:
            wanted = "one key" if max_keys == 1 else f"from 1 to {max_keys} keys, a line each"
            self.reject(key, f"{path}: {wanted}, not {len(lines)}")
        try:
            secrets = tuple(bytes.fromhex(line) for line in lines)
        except ValueError:
            self.reject(key, f"{path}: a key that is not hexadecimal digits")
        if any(len(secret) < min_key_bytes for secret in secrets):
            self.reject(key, f"{path}: a key under {min_key_bytes} bytes ({2 * min_key_bytes} digits)")
        if len(set(secrets)) != len(secrets):
            self.reject(key, f"{path}: the same key twice")
        return secrets

    def _read_private_lines(self, key: str, path: Path) -> list[str]:
        """The words of a file, which must not be accessible to the group or to others."""
        try:
            mode = path.stat().st_mode
            lines = path.read_text().split()
        except (OSError, UnicodeDecodeError) as error:
            self.reject(key, f"{path}: {getattr(error, 'strerror', None) or 'not text'}")
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            self.reject(key, f"{path} can be read by others: chmod 600")
        return lines

    def store_path(self, key: str, file_name: str) -> Path | None:
        """Where state is stored over a restart: its folder must exist. None if no name is given."""
        if not file_name:
            return None
        path = self.path.parent / file_name
        if not path.parent.is_dir():
            self.reject(key, f"no folder {path.parent}")
        return path
