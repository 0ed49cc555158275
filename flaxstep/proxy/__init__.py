"""A load-balancing HTTP proxy on real sockets, round the decisions of flaxstep.routing."""
