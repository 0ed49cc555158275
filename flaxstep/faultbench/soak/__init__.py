"""The soak: drawn farms, drawn traffic and drawn faults on real processes, judged by the rig's rules."""
