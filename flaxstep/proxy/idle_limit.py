"""How long a connection to a job server may be idle, learned from resets."""

from __future__ import annotations

from bisect import bisect

# Upper bounds of the idle times by which resets of reused connections are counted.
IDLE_BUCKETS_MS = (50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 400.0, 800.0, 1600.0)
# The idle limit is lowered to a bound if at least so many connections that were idle for longer were reset,
# and at a rate that exceeds that of the others by this margin.
MIN_IDLE_RESETS, IDLE_RESET_RATE_MARGIN = 3.0, 0.2
IDLE_STATS_HALF_LIFE_SWEEPS = 5


class IdleLimit:
    """How long a connection may be idle and still be reused: servers may close it sooner than configured.

    If connections that were idle for longer than a bucket's bound are reset clearly more often than the
    others, that bound is the limit, until decay has removed the evidence.
    """

    def __init__(self, max_ms: float) -> None:
        self.max_ms = self.limit_ms = max_ms
        self.uses = [0.0] * (len(IDLE_BUCKETS_MS) + 1)  # by bucket of the idle time before the use
        self.resets = self.uses[:]
        self.sweeps = 0

    def record_use(self, idle_ms: float, reset: bool) -> None:
        """Record how the use of a connection that had been idle ended."""
        bucket = bisect(IDLE_BUCKETS_MS, idle_ms)
        self.uses[bucket] += 1
        if reset:
            self.resets[bucket] += 1
            self.update_limit()

    def update_limit(self) -> None:
        """Set the limit to the lowest bound above which resets are clearly more frequent."""
        for i, bucket_ms in enumerate(IDLE_BUCKETS_MS, 1):
            resets, uses = sum(self.resets[i:]), sum(self.uses[i:])
            others = sum(self.resets[:i]) / max(sum(self.uses[:i]), 1.0)
            if resets >= MIN_IDLE_RESETS and resets / uses > others + IDLE_RESET_RATE_MARGIN:
                self.limit_ms = min(bucket_ms, self.max_ms)
                return
        self.limit_ms = self.max_ms

    def on_sweep(self) -> None:
        """Halve the counts at regular intervals, so that old evidence loses weight."""
        self.sweeps += 1
        if self.sweeps % IDLE_STATS_HALF_LIFE_SWEEPS == 0:
            self.uses = [count / 2 for count in self.uses]
            self.resets = [count / 2 for count in self.resets]
            self.update_limit()
