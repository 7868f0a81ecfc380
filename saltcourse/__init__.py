"""saltcourse: a load balancer for long-lived connections, and the proxy that executes its decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from saltcourse.balancing.balancer import Balancer

__version__ = "0.1.0"
__all__ = ["Balancer", "__version__"]


def __getattr__(name: str) -> Any:
    """Import ``Balancer`` on first access, so that the program can hold its signals before slow imports."""
    if name != "Balancer":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from saltcourse.balancing.balancer import Balancer

    return Balancer
