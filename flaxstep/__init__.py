"""A load-balancing HTTP proxy (proxy, with its decisions in routing) and the tools round it."""
