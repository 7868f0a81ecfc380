"""Reads the configuration: the proxy's own file with the deployment's settings, and the operator's file.

The names exported here belong to the proxy's own file. ``operator`` reads the operator's file and is imported
only if there is one.
"""

from saltcourse.config.errors import ConfigError
from saltcourse.config.proxy_config import RESTART_REQUIRED_KEYS, Config, Limits, PeerAddresses
from saltcourse.config.proxy_config_reader import load_config, read_config

__all__ = [
    "RESTART_REQUIRED_KEYS",
    "Config",
    "ConfigError",
    "Limits",
    "PeerAddresses",
    "load_config",
    "read_config",
]
