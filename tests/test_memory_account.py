"""The account of what is held for peers, and who gives up what when it is over its size."""

from __future__ import annotations

import pytest

from flaxstep.proxy.memory_account import MAX_SHARE_BYTES, MIN_SHARE_BYTES, MemoryAccount, MemoryHolder

KIB = 1024


class FakeHolder(MemoryHolder):
    """Holds bytes and gives up a part of them, at once or once its connection has closed."""

    def __init__(self, held: int, releasable: int, at_once: bool) -> None:
        self.held, self.releasable, self.at_once = held, releasable, at_once
        self.asked = 0

    def count_held_bytes(self) -> int:
        return self.held

    def release_memory(self) -> int:
        self.asked += 1
        released, self.releasable = self.releasable, 0
        if self.at_once:
            self.held -= released
        return released


def fill(account: MemoryAccount, holders: list[FakeHolder]) -> None:
    for holder in holders:
        account.update(holder)


# Guards against: connections that close only in the next turn count as if they had given up nothing, and all
# others are ended too.
@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("excess_kib", [1, 50, 64, 150])
def test_only_as_many_of_the_biggest_give_up_as_are_needed(at_once: bool, excess_kib: int) -> None:
    account = MemoryAccount(32 << 20)
    small = [FakeHolder(4 * KIB, 4 * KIB, at_once) for _ in range(100)]
    big = [FakeHolder(64 * KIB, 64 * KIB, at_once) for _ in range(10)]
    fill(account, small + big)
    rest = FakeHolder(account.total_bytes - account.held_bytes, 0, at_once)
    fill(account, [rest])
    assert not any(holder.asked for holder in small + big)
    rest.held += excess_kib * KIB
    fill(account, [rest])
    assert sum(holder.asked for holder in big) == -(-excess_kib // 64)
    assert not any(holder.asked for holder in small)


def test_account_is_exhausted_until_what_was_given_up_is_gone() -> None:
    account = MemoryAccount(32 << 20)
    holder = FakeHolder(account.total_bytes + KIB, 2 * KIB, at_once=False)
    fill(account, [holder])
    assert holder.asked == 1 and account.is_exhausted
    holder.held += MAX_SHARE_BYTES // 2  # too little for another search
    fill(account, [holder])
    assert holder.asked == 1
    holder.held += MAX_SHARE_BYTES
    fill(account, [holder])
    assert holder.asked == 2
    account.remove(holder)
    account.update(holder)  # a late event of a connection that has closed
    assert account.held_bytes == 0 and not account.is_exhausted and account.share_bytes == MAX_SHARE_BYTES


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
def test_size_follows_the_limit_the_process_and_its_twin(memory_mb: int) -> None:
    account = MemoryAccount(memory_mb << 20)
    whole = account.total_bytes
    account.resize(resting_bytes=20 << 20)
    assert whole < account.total_bytes < (memory_mb - 20) << 20
    account.resize(process_count=2)
    assert 0 < account.total_bytes < whole / 2 and account.share_bytes >= MIN_SHARE_BYTES
    account.resize(resting_bytes=21 << 20, process_count=1)
    assert account.total_bytes == whole
