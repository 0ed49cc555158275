"""An upgrade while discovery is down: the new process sends to a job server that is known to leave."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins as s

CLIENT_RATE = 90.0
LEAVES_AT_S = 1.0  # discovery writes the change to the node's open watch
DOWN_AT_S, DOWN_FOR_S = 3.0, 8.0  # STANDING, herd+mass: discovery is down for 8 s
UPGRADE_AT_S = 4.0
TOLD_AFTER_YES_S = 2.0  # DAYS, Upgrades: "Discovery's news counts as told 2 s after the yes"
GRACE_S = 0.5  # the settings' DrainGrace
ENDS_AFTER_YES_S = 5.0  # the leaving job server's process ends: its connections are reset, new ones refused
KILL_AFTER_S = 1.2 + 0.7  # DAYS, Upgrades: the longest deadline and 0.7 s


async def case(record: s.Record) -> bool:
    platform = s.Platform(record)
    servers = [s.JobServer(f"s-{n}", record, 0.04) for n in range(3)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, [server.entry(cell=n) for n, server in enumerate(servers)])
    await discovery.start()
    listen, first_admin, second_admin = s.free_port(), s.free_port(), s.free_port()
    config = platform.write_config(
        discovery.port,
        {"settings": s.settings(s.farm_classes()), "known": discovery.whole_list()},
        listen,
        first_admin,
    )
    leaving = servers[0]
    try:
        old = platform.start_node(config, listen, first_admin)
        await platform.wait_ready(old)
        began, tasks = s.now(), []
        until = began + DOWN_AT_S + DOWN_FOR_S + 2.0

        async def clients() -> None:
            while s.now() < until:
                name = f"r-{len(tasks)}"
                tasks.append(asyncio.create_task(s.send_one(old, "submit-build", name, 1200, record)))
                await asyncio.sleep(1 / CLIENT_RATE)

        traffic = asyncio.create_task(clients())
        await asyncio.sleep(LEAVES_AT_S)
        discovery.change(leaving.entry("leaving"))
        told_at = s.now()
        await asyncio.sleep(began + DOWN_AT_S - s.now())
        if s.TROUBLE:
            record.write("discovery_down")
            discovery.go_down()
        await asyncio.sleep(began + UPGRADE_AT_S - s.now())
        new = platform.start_node(config, listen, second_admin)
        yes_at = await platform.wait_ready(new, 6.0)
        record.write("upgrade_yes", at=yes_at)
        old.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S)
        if old.running:
            old.process.kill()
        await asyncio.sleep(max(0.0, yes_at + ENDS_AFTER_YES_S - s.now()))
        leaving.end()
        record.write("leaving_job_server_ends")
        await asyncio.sleep(max(0.0, began + DOWN_AT_S + DOWN_FOR_S - s.now()))
        if s.TROUBLE:
            await discovery.start()
            record.write("discovery_up")
        await traffic
        results = await asyncio.gather(*tasks)
        limit = yes_at + TOLD_AFTER_YES_S + GRACE_S + s.SLACK_S
        by_old = [at for _, at in leaving.first_bytes if told_at + GRACE_S + s.SLACK_S < at < yes_at - 0.5]
        late = [at for _, at in leaving.first_bytes if at > limit]
        begun = {run.request_id for run in leaving.runs}
        cut_off = [each for each in results if each.status != 200 and each.request_id in begun]
        record.say(
            f"sends to the leaving job server later than {limit - yes_at:.2f} s after the yes: {len(late)}, "
            f"the last {max(late, default=limit) - yes_at:.2f} s after it; by the old process after it was "
            f"told: {len(by_old)}; builds begun there and cut off: {len(cut_off)}; answered 200: "
            f"{sum(each.status == 200 for each in results)} of {len(results)}"
        )
        return bool(late or by_old)
    finally:
        await platform.stop_all()


if __name__ == "__main__":
    s.main(case, Path(__file__).resolve().parent)
