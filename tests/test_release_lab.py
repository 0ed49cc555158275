"""A release in the lab: the real course and decisions in virtual time."""

from __future__ import annotations

from benchmarks.release_lab import play
from flaxstep.rollout.release import State


def test_a_release_of_a_drawn_farm_goes_through_and_no_cold_server_falls() -> None:
    done = play(1, "good")
    assert done.state is State.DONE and done.released == 9 and done.most_out == 1
    assert done.fallen == done.broken == 0 and done.in_time > 0.95 * done.asked


def test_a_version_with_errors_is_brought_back_from_the_canary() -> None:
    bad = play(1, "2% errors")
    assert bad.state is State.ROLLED_BACK and bad.halted_with == 1 and bad.released == 0
    assert play(1, "2% errors") == bad  # one seed is one day, to the request
