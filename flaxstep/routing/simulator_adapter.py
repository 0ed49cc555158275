"""Runs one Policy per simulated node over the simulator's wire protocol, on standard input and output."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from flaxstep.routing.policy import Policy
from flaxstep.routing.simulator_wire import (
    BATCH_HEADER,
    Decoder,
    Encoder,
    InstanceStarted,
    InstanceStopped,
    WireError,
)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches of events and write a reply to each until the input ends."""
    decoder = Decoder()
    policies: dict[int, Policy] = {}
    while header := source.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError(f"batch header: the input ends after {len(header)} of {BATCH_HEADER.size} bytes")
        batch_number, length, _, _ = BATCH_HEADER.unpack(header)
        if length < BATCH_HEADER.size:
            raise WireError(f"batch {batch_number}: a length of {length} is shorter than its header")
        body = source.read(length - BATCH_HEADER.size)
        if len(body) < length - BATCH_HEADER.size:
            raise WireError(f"batch {batch_number}: the input ends inside a frame of {length} bytes")
        batch_number, now, events = decoder.decode_batch(header + body)
        reply = Encoder(batch_number)
        for instance, event in events:
            kind = type(event)
            if kind is InstanceStopped:
                policies.pop(instance, None)
                continue
            if kind is not InstanceStarted and instance not in policies:
                raise WireError(f"batch {batch_number}: instance {instance} was never started")
            try:
                if isinstance(event, InstanceStarted):
                    policies[instance] = Policy(event.settings, event.seed)
                else:
                    reply.add_actions(
                        instance,
                        policies[instance].handle(now, event),  # type: ignore[arg-type]
                    )
            except Exception as error:  # of any kind: it is reported to the simulator
                traceback.print_exc()
                reply.add_fatal(instance, f"{type(error).__name__}: {error}")
                break
        sink.write(reply.to_frame())
        sink.flush()


def main() -> int:
    """Serve until the input ends; return 2 if it is malformed."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"cottonhall: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
