"""A load-balancing HTTP proxy (proxy, with its routing policy in routing) and its test and release tools."""
