"""Servers that operators take out of use and back: their calls, and what each process does about them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Set

from flaxstep.proxy.admin import Reply
from flaxstep.proxy.config import Config
from flaxstep.proxy.connection_pool import ServerPool
from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.shared_state import OperatorState, SharedState
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Cordon, Event, Uncordon

log = logging.getLogger("flaxstep.proxy")


class Cordons:
    """Carries out the operators' calls, also those made at another process of this node.

    `listed` has the ids of the servers in the list that is in force.
    """

    def __init__(
        self,
        config: Config,
        pool: ServerPool,
        listed: Set[int],
        dispatch_event: Callable[[Event], None],
    ) -> None:
        self.ramp_time_ms = config.settings.ramp_time
        self.pool = pool
        self.listed = listed
        self.dispatch_event = dispatch_event
        self.shared_state = SharedState(config.shared_folder, config.name, self.on_change)

    def cordon(self, body: bytes) -> Reply:
        """Send nothing new to the server that the body names, until it is uncordoned."""
        return self.change(
            body, "cordoned", lambda state, name: state.with_cordoned(name), self.shared_state.cordon_unsaved
        )

    def uncordon(self, body: bytes) -> Reply:
        """Use the server again. It counts as restarted now, so it starts cold."""
        now = now_ms()

        def edit(state: OperatorState, name: str) -> OperatorState:
            if name not in state.cordoned:
                return state
            warm = now - self.ramp_time_ms
            forget = {
                other
                for other, at in state.returned.items()
                if self.shared_state.return_time(other, at) <= warm
            }
            return state.with_returned(name, self.shared_state.record_return(name, now), forget)

        return self.change(body, "uncordoned", edit)

    def change(
        self,
        body: bytes,
        result: str,
        edit: Callable[[OperatorState, str], OperatorState],
        on_save_failure: Callable[[str], None] | None = None,
    ) -> Reply:
        """Apply a call of an operator; `on_save_failure` gets the server's name if it can't be saved."""
        try:
            name = body.decode().strip()
        except UnicodeDecodeError:
            return 400, "the body is not UTF-8 text"
        if not name:
            return 400, "the body must be the id of a server"
        self.shared_state.refresh()  # the other process may have changed it
        # A server that restarts may be missing from the list, but can still be uncordoned.
        if stable_id(name.encode()) not in self.listed and name not in self.shared_state.state.cordoned:
            return 404, f"no server {name} is listed"
        try:
            self.shared_state.apply_change(lambda state: edit(state, name))
        except OSError as error:
            log.warning("server %s can't be saved as %s: %s", name, result, error)
            if on_save_failure is None:
                return 503, f"not saved, so not changed: {error}"
            on_save_failure(name)
            return 503, f"cordoned in this process, not saved yet: {error}"
        return 200, f"{name} {result}"

    def on_change(self, old: OperatorState, new: OperatorState) -> None:
        """Apply the changes of operators, made at this process or at another one of this node."""
        for name in sorted(new.cordoned - old.cordoned):
            server_id = stable_id(name.encode())
            log.info("%s is out", name)
            self.dispatch_event(Cordon(server_id))
            self.pool.cordon(server_id)
        for name, at in sorted(new.returned.items()):
            if old.returned.get(name) != at:
                log.info("%s is back", name)
                self.dispatch_event(
                    Uncordon(stable_id(name.encode()), self.shared_state.return_time(name, at))
                )
