"""Operator's files and proxy configurations for the tests."""

from __future__ import annotations

import json
from pathlib import Path

EXAMPLE = Path(__file__).parents[2] / "example" / "config.json"
ADDRESS_FAILOVER_SECTION = """membership {
  me: "a"
  service_address: "192.0.2.7"
  member { name: "a" address: "127.0.0.1:7001" priority: 2 }
  member {
    name: "b"
    address: "127.0.0.2:7001"
  }
  member { name: "w" address: "[::1]:7001" witness: true }
  key_file: "key"
  timing { lease_s: 0.5 }
  bgp {
    asn: 64512 peer_asn: 64512 identifier: "10.0.0.1"
    next_hop: "10.0.0.1"
    route_server: "127.0.0.1:179"
  }
}
"""
GOSSIP_SECTION = """gossip {
  me: "c0"
  listen: "0.0.0.0:7500"
  advertise: "10.0.0.1:7500"
  region: "north" zone: "n1"
  role: CONTROL
  seed: "10.0.0.1:7500"
  seed: "10.0.0.2:7500"
  voter { name: "c0" address: "10.0.0.1:7500" }
  voter { name: "c1" address: "10.0.0.2:7500" }
  voter { name: "c2" address: "[2001:db8::0:3]:7500" }
  key_file: "key"
  store_file: "c0.store"
  probe_interval_s: 2
}
"""


def write_operator_file(
    folder: Path, text: str = ADDRESS_FAILOVER_SECTION, keys: str = "ab" * 32, mode: int = 0o600
) -> Path:
    """Write an operator's file and its key file to a directory, and return the path of the former."""
    (folder / "key").write_text(keys)
    (folder / "key").chmod(mode)
    file = folder / "operator.txtpb"
    file.write_text(text)
    return file


def write_proxy_config(folder: Path, peers: bool) -> str:
    """Write a proxy configuration and return its path; ``peers`` allows traffic between proxies."""
    values = json.loads(EXAMPLE.read_text())
    values["settings"]["limits"]["peers"] = peers
    (folder / "config.json").write_text(json.dumps(values))
    return str(folder / "config.json")
