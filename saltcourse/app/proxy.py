"""Composes the proxy with what its own file and the operator's file switch on, and runs it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from saltcourse.app.operator_source import OperatorSource
from saltcourse.config import Config, ConfigError, load_config
from saltcourse.config.overlay import ConfigurationSource
from saltcourse.proxy.server import serve

if TYPE_CHECKING:  # nothing of it is imported without an operator's file
    from saltcourse.config.operator import OperatorSettings
    from saltcourse.proxy.background_service import BackgroundService, MembershipService


class ProxyProgram:
    """The proxy and its background services, composed from the configuration as it is at the start.

    ``config_path`` and ``operator_path`` are None where the environment names the files; there may be no
    operator's file. Raises ``ConfigError``, and ``MissingExtraError`` when protobuf is not installed.
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
        """Serve until SIGTERM; SIGHUP has the configuration read again.

        Raises ``ConfigError`` and ``ListenError``, and ``AddressFailoverStartError`` for that service.
        """
        source = ConfigurationSource(self.config, self._reread)
        background_services = self._create_background_services()
        gossip = self._create_gossip_service(source)
        serve(self.config, source.reread, background_services, gossip)

    def _reread(self) -> Config:
        return self._with_shared_state(load_config(self._config_path, self._environment, reloading=True))

    def _with_shared_state(self, config: Config) -> Config:
        """Put the operator's terms of shared state into the settings that the decisions are made under.

        They are those of the section ``fleet`` as read at the start; a reload neither takes a change of the
        section over nor logs it.
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
                "gossip.role: must be PROXY for a proxy; a control member runs alone, by saltcourse control"
            )
        return GossipService(settings, source, self._operator_source.read_gossip)


def _check_peers_allowed(config: Config, operator: OperatorSettings) -> None:
    """Every section of the operator's file lets proxies talk to each other."""
    sections = operator.sections()
    if sections and not config.settings.peers_allowed:
        raise ConfigError(
            f"{sections[0]}: the deployment's settings say that proxies may not talk to each other "
            "('settings.limits.peers')"
        )
