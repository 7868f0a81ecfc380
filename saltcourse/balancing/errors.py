"""Errors that the balancer raises for invalid events."""

from __future__ import annotations


class UnknownRequestClassError(KeyError):
    """An event has a request class that the settings do not define."""

    def __init__(self, request_class: str) -> None:
        super().__init__(request_class)
        self.request_class = request_class

    def __str__(self) -> str:
        """Return a message with the request class."""
        return f"request class {self.request_class!r} is not defined in the settings"


class UnknownTimerError(KeyError):
    """A timer fired with a token that was never set."""

    def __init__(self, token: int) -> None:
        super().__init__(token)
        self.token = token

    def __str__(self) -> str:
        """Return a message with the token."""
        return f"a timer fired with token {self.token}, but no timer with this token was ever set"
