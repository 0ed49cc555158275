"""The decisions of a load-balancing proxy, as a library."""

from flaxstep.routing.interface import Settings
from flaxstep.routing.policy import Policy

__all__ = ["Policy", "Settings"]
