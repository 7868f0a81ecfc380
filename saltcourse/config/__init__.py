"""Configuration: the proxy's own file, the deployment's settings in it, and the operator's file.

The names below are the proxy's own file. The operator's file is read by ``operator``, which is imported only
where there is such a file.
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
