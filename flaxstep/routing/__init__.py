"""The routing decisions of a load-balancing proxy, without any I/O."""

from flaxstep.routing.interface import Settings
from flaxstep.routing.policy import Policy

__all__ = ["Policy", "Settings"]
