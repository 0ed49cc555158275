"""The soak test: random farms, traffic and faults on real processes, checked against the rules."""
