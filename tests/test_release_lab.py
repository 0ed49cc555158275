"""Simulated releases, with the real release state machine and routing policy."""

from __future__ import annotations

from benchmarks.release_lab import play
from flaxstep.rollout.release import State


def test_a_good_release_completes_and_no_cold_server_crashes() -> None:
    done = play(1, "good")
    assert done.state is State.DONE and done.released == 9 and done.max_members_out == 1
    assert done.crashes == done.breaches == 0 and done.in_time > 0.95 * done.first_tries


def test_a_version_with_errors_is_rolled_back_after_the_canary() -> None:
    bad = play(1, "2% errors")
    assert bad.state is State.ROLLED_BACK and bad.members_at_halt == 1 and bad.released == 0
    assert play(1, "2% errors") == bad  # the same seed gives the same run
