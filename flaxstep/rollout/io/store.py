"""The state of a farm's releases, in one SQLite file that is synced at each commit.

Write-ahead: the intent of an action is written before it, in one transaction with the state that asks for it,
and its result after it. The controller holds the claim, a lease: a row with a fencing token that grows each
time the claim is acquired. Every transaction of a controller checks its token, so a controller that was
stopped and replaced cannot write any more, and ends. Times are of the boot clock, which runs during suspend
and cannot be set; after a reboot all of them start again from 0.
"""

from __future__ import annotations

import os
import sqlite3
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from flaxstep.rollout.actions import MUTATING_ACTIONS, Action, ActionKind, ActionResult, MemberState
from flaxstep.rollout.plan import Plan
from flaxstep.rollout.release import Release

SCHEMA_VERSION = 1  # of the tables; a file with another version is refused and not changed
LEASE_S = 10.0  # a claim that was not renewed for this long may be acquired by another controller
BUSY_TIMEOUT_S = 5.0  # for the transaction of another process
TABLES = """
CREATE TABLE IF NOT EXISTS claim (
    one INTEGER PRIMARY KEY CHECK (one = 1), number INTEGER, holder TEXT, boot TEXT, renewed REAL);
CREATE TABLE IF NOT EXISTS releases (
    id INTEGER PRIMARY KEY, plan TEXT, state TEXT, boot TEXT, began REAL, ended REAL);
CREATE TABLE IF NOT EXISTS members (
    release INTEGER, id TEXT, body TEXT, PRIMARY KEY (release, id)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS acts (
    id INTEGER PRIMARY KEY, release INTEGER, at REAL, act TEXT, member TEXT, version TEXT, door TEXT,
    ended REAL, ok INTEGER, said TEXT);
CREATE TABLE IF NOT EXISTS orders (
    id INTEGER PRIMARY KEY, release INTEGER, at REAL, what TEXT, taken REAL, said TEXT);
"""


class StoreError(Exception):
    """The state cannot be read or written, or another controller holds it. One line."""


class ClaimLost(StoreError):
    """Another controller has acquired the claim."""


def boot_clock_s() -> float:
    """Seconds since boot; cannot be set, and is the same in all processes."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> str:
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(slots=True)
class StoredRelease:
    """A release as stored. `unfinished_actions` have no result yet, by id."""

    id: int
    plan: Plan
    release: Release
    members: dict[str, MemberState]
    unfinished_actions: dict[int, Action]
    began: float
    ended: float | None


@dataclass(frozen=True, slots=True)
class HistoryLine:
    """One action of the history of a release, as shown by `release history --json`. Times in Unix s; `ok` is
    None while it has no result.
    """

    id: int
    at: float
    act: str
    member: str
    version: str
    ended: float | None
    ok: bool | None
    said: str


class Store:
    """The state file. `fencing_token` is 0 in a process that does not hold the claim."""

    def __init__(self, path: Path, must_exist: bool = False) -> None:
        self.path, self.fencing_token, self.boot = path, 0, boot_id()
        if must_exist and not path.exists():
            raise StoreError(f"{path}: no release has been started on this farm")
        self.saved_members: dict[
            str, bytes
        ] = {}  # encoded members as last written, to write only those that changed
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.db = sqlite3.connect(path, timeout=BUSY_TIMEOUT_S, isolation_level=None)
            schema_version = self.db.execute("PRAGMA user_version").fetchone()[0]
            if schema_version not in (0, SCHEMA_VERSION):
                raise StoreError(
                    f"{path}: written by another version of the program (schema version {schema_version})"
                )
            if schema_version == 0:
                self.db.execute("PRAGMA journal_mode = WAL")
                self.db.executescript(
                    f"BEGIN IMMEDIATE;{TABLES}PRAGMA user_version = {SCHEMA_VERSION};COMMIT;"
                )
            self.db.execute("PRAGMA synchronous = FULL")
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None
        except OSError as error:
            raise StoreError(f"{path}: {error.strerror}") from None

    def close(self) -> None:
        self.db.close()

    # The claim.

    def acquire_claim(self) -> None:
        """Become the only controller; StoreError if another one holds the claim."""
        with self.transaction(claimed=False):
            row = self.db.execute("SELECT number, holder, boot, renewed FROM claim").fetchone()
            number, holder, boot, renewed = row or (0, "", "", 0.0)
            ago = boot_clock_s() - renewed
            if holder and boot == self.boot and ago < LEASE_S:
                raise StoreError(
                    f"{self.path}: {holder} acts on this farm, its claim was renewed {ago:.1f} s ago"
                )
            self.fencing_token = number + 1
            self.db.execute(
                "INSERT OR REPLACE INTO claim VALUES (1, ?, ?, ?, ?)",
                (self.fencing_token, f"process {os.getpid()}", self.boot, boot_clock_s()),
            )

    def release_claim(self) -> None:
        if self.fencing_token:
            self.db.execute("UPDATE claim SET holder = '' WHERE number = ?", (self.fencing_token,))
            self.fencing_token = 0

    def holds_claim(self) -> bool:
        """Whether this process holds the claim; checked just before an action."""
        row = self.db.execute("SELECT number FROM claim").fetchone()
        return row is not None and row[0] == self.fencing_token

    def holder(self) -> str:
        """The process that holds the claim; an empty string if none does."""
        row = self.db.execute("SELECT holder, boot, renewed FROM claim").fetchone()
        alive = row and row[1] == self.boot and boot_clock_s() - row[2] < LEASE_S
        return str(row[0]) if alive else ""

    @contextmanager
    def transaction(self, claimed: bool = True) -> Iterator[None]:
        """An atomic transaction. If `claimed`, it checks and renews the claim."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            try:
                if claimed:
                    cursor = self.db.execute(
                        "UPDATE claim SET renewed = ? WHERE number = ?", (boot_clock_s(), self.fencing_token)
                    )
                    if cursor.rowcount != 1:
                        raise ClaimLost(f"{self.path}: another controller has taken this farm over")
                yield
            except BaseException:
                self.db.execute("ROLLBACK")
                raise
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    # Releases.

    def create_release(self, plan: Plan, release: Release, members: Mapping[str, MemberState]) -> int:
        """Store a new release and return its id."""
        text = msgspec.json.encode(plan).decode()
        with self.transaction():
            cursor = self.db.execute(
                "INSERT INTO releases (plan, state, boot, began) VALUES (?, ?, ?, ?)",
                (text, msgspec.json.encode(release).decode(), self.boot, time.time()),
            )
            number = int(cursor.lastrowid or 0)
            self.write_members(number, members)
        return number

    def write_members(self, number: int, members: Mapping[str, MemberState]) -> None:
        for member in members.values():
            body = msgspec.json.encode(member)
            if self.saved_members.get(member.id) != body:
                self.saved_members[member.id] = body
                line = (number, member.id, body.decode())
                self.db.execute("INSERT OR REPLACE INTO members VALUES (?, ?, ?)", line)

    def write_intents(
        self, number: int, release: Release, members: Mapping[str, MemberState], actions: Sequence[Action]
    ) -> list[int]:
        """Write state and intents in one transaction; return the ids of the actions, 0 for queries."""
        ids: list[int] = []
        with self.transaction():
            for action in actions:
                if action.kind not in MUTATING_ACTIONS:
                    ids.append(0)
                    continue
                cursor = self.db.execute(
                    "INSERT INTO acts (release, at, act, member, version, door) VALUES (?, ?, ?, ?, ?, ?)",
                    (
                        number,
                        time.time(),
                        action.kind.value,
                        action.member,
                        action.version,
                        action.admin_address,
                    ),
                )
                ids.append(int(cursor.lastrowid or 0))
                members[action.member].open = ids[-1]
            self.save(number, release, members)
        return ids

    def save(self, number: int, release: Release, members: Mapping[str, MemberState]) -> None:
        self.db.execute(
            "UPDATE releases SET state = ?, boot = ? WHERE id = ?",
            (msgspec.json.encode(release).decode(), self.boot, number),
        )
        self.write_members(number, members)

    def write_result(
        self,
        number: int,
        release: Release,
        members: Mapping[str, MemberState],
        action: int,
        result: ActionResult,
    ) -> None:
        """Write the result of an action, and the state that follows from it."""
        with self.transaction():
            if action:
                self.db.execute(
                    "UPDATE acts SET ended = ?, ok = ?, said = ? WHERE id = ?",
                    (time.time(), result.ok, result.text, action),
                )
            self.save(number, release, members)

    def close_release(self, number: int, release: Release, members: Mapping[str, MemberState]) -> None:
        with self.transaction():
            self.save(number, release, members)
            self.db.execute("UPDATE releases SET ended = ? WHERE id = ?", (time.time(), number))

    def newest_release(self) -> StoredRelease | None:
        """The newest release, if there is any."""
        try:
            row = self.db.execute(
                "SELECT id, plan, state, boot, began, ended FROM releases ORDER BY id DESC LIMIT 1"
            ).fetchone()
            if row is None:
                return None
            number, plan, state, boot, began, ended = row
            bodies = self.db.execute("SELECT body FROM members WHERE release = ?", (number,)).fetchall()
            unfinished = self.db.execute(
                "SELECT id, act, member, version, door FROM acts WHERE release = ? AND ended IS NULL",
                (number,),
            ).fetchall()
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None
        try:
            release: Release = msgspec.json.decode(state, type=Release)
            members: list[MemberState] = [msgspec.json.decode(body, type=MemberState) for (body,) in bodies]
            stored_plan: Plan = msgspec.json.decode(plan, type=Plan)
        except msgspec.MsgspecError as error:
            raise StoreError(f"{self.path}: release {number}: {error}") from None
        if boot != self.boot:  # after a reboot the boot clock starts again from 0
            for member in members:
                member.since, member.asked = boot_clock_s(), -1e9
            release.waits_since = boot_clock_s()
        actions = {
            at: Action(ActionKind(act), member, version, door)
            for at, act, member, version, door in unfinished
        }
        return StoredRelease(number, stored_plan, release, {m.id: m for m in members}, actions, began, ended)

    def history(self, number: int) -> list[HistoryLine]:
        rows = self.db.execute(
            "SELECT id, at, act, member, version, ended, ok, said FROM acts WHERE release = ? ORDER BY id",
            (number,),
        )
        return [
            HistoryLine(at, when, act, member, version, ended, None if ok is None else bool(ok), said or "")
            for at, when, act, member, version, ended, ok, said in rows
        ]

    # Orders of operators.

    def add_order(self, number: int, what: str) -> int:
        with self.transaction(claimed=False):
            cursor = self.db.execute(
                "INSERT INTO orders (release, at, what) VALUES (?, ?, ?)", (number, time.time(), what)
            )
            return int(cursor.lastrowid or 0)

    def pending_orders(self, number: int) -> list[tuple[int, str]]:
        """The orders that no controller has processed, oldest first."""
        rows = self.db.execute(
            "SELECT id, what FROM orders WHERE release = ? AND taken IS NULL ORDER BY id", (number,)
        )
        return [(int(at), str(what)) for at, what in rows]

    def record_order_result(self, order: int, result: str) -> None:
        """Call within a transaction of the claim's holder: otherwise the order may be marked as processed
        while its effect is not stored.
        """
        self.db.execute("UPDATE orders SET taken = ?, said = ? WHERE id = ?", (time.time(), result, order))

    def order_result(self, order: int) -> str | None:
        """The result of an order: empty if done, the reason of a refusal, or None while it is pending."""
        row = self.db.execute("SELECT taken, said FROM orders WHERE id = ?", (order,)).fetchone()
        return None if row is None or row[0] is None else str(row[1])
