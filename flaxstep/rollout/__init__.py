"""Staged releases of job servers and nodes: the deciding part, without sockets, files or clocks of its
own."""
