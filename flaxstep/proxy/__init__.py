"""A load-balancing HTTP proxy. It performs the network I/O for the routing decisions of flaxstep.routing."""
