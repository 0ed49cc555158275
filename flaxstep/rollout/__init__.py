"""Staged releases of job servers and nodes: the decisions, without sockets, files or clocks of their own."""
