"""Runs the proxy with the features that its own file and the operator's file enable."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from saltcourse.app.operator_source import OperatorSource
from saltcourse.config import Config, ConfigError, load_config
from saltcourse.config.overlay import ConfigurationSource
from saltcourse.proxy.server import serve

if TYPE_CHECKING:  # imported at run time only if there is an operator's file
    from saltcourse.config.operator import OperatorSettings
    from saltcourse.proxy.background_service import BackgroundService, MembershipService


class ProxyProgram:
    """The proxy and its background services, created from the configuration read at the start.

    If ``config_path`` or ``operator_path`` is None, the environment names the file; the operator's file is
    optional. Raises ``ConfigError``, and ``MissingExtraError`` if protobuf is not installed.
    """

    def __init__(
        self, config_path: str | None, operator_path: str | None, environment: Mapping[str, str]
    ) -> None:
        self._config_path = config_path
        self._environment = environment
        config = load_config(config_path, environment)
        self._operator_source = OperatorSource(operator_path, environment, config.name)
        self.operator: OperatorSettings | None = self._operator_source.read()
        if self.operator is not None:
            _check_peers_allowed(config, self.operator)
        self.config: Config = self._with_shared_state(config)

    def run(self) -> None:
        """Serve until SIGTERM; SIGHUP reloads the configuration.

        Raises ``ConfigError``, ``ListenError``, or ``AddressFailoverStartError`` from that service.
        """
        source = ConfigurationSource(self.config, self._reread)
        background_services = self._create_background_services()
        gossip = self._create_gossip_service(source)
        serve(self.config, source.reread, background_services, gossip)

    def _reread(self) -> Config:
        return self._with_shared_state(load_config(self._config_path, self._environment, reloading=True))

    def _with_shared_state(self, config: Config) -> Config:
        """Return the configuration with the operator's shared-state settings.

        They are those of the section ``fleet`` at the start; a reload neither applies nor logs its changes.
        """
        if self.operator is None or self.operator.shared_state is None:
            return config
        settings = replace(config.settings, shared_state=self.operator.shared_state)
        return replace(config, settings=settings)

    def _create_background_services(self) -> Sequence[BackgroundService]:
        settings = self.operator.address_failover if self.operator is not None else None
        if settings is None:
            return ()
        from saltcourse.app.address_failover import AddressFailoverService

        return (AddressFailoverService(settings, self._operator_source.read_address_failover),)

    def _create_gossip_service(self, source: ConfigurationSource) -> MembershipService | None:
        settings = self.operator.gossip if self.operator is not None else None
        if settings is None:
            return None
        from saltcourse.app.gossip import GossipService
        from saltcourse.gossip.messages import Role

        if settings.role is not Role.PROXY:
            raise ConfigError(
                "gossip.role: must be PROXY for a proxy; run a control member with saltcourse control"
            )
        return GossipService(settings, source, self._operator_source.read_gossip)


def _check_peers_allowed(config: Config, operator: OperatorSettings) -> None:
    """Raise ``ConfigError`` if the file has a section but the deployment forbids traffic between proxies."""
    sections = operator.sections()
    if sections and not config.settings.peers_allowed:
        raise ConfigError(
            f"{sections[0]}: not allowed, because the deployment's settings forbid traffic between proxies "
            "('settings.limits.peers' is not true)"
        )
