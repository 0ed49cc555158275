"""The I/O of releases: admin ports, the list service, commands, and the state file."""
