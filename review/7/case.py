"""A job server sends some answers a second time, some milliseconds late; another client gets it."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins as s

LATE_S = 0.012  # STANDING, join+mass: "a second answer may come some milliseconds late"
DURATION_S = 20.0
CLIENT_RATE = 100.0
SPOILT_SHARE = 10  # one answer in ten


async def case(record: s.Record) -> bool:
    platform = s.Platform(record)
    servers = [s.JobServer(f"s-{n}", record) for n in range(3)]
    counts = {"answers": 0, "spoilt": 0}

    def answer_of(server: s.JobServer):
        async def answer(message: s.Message, writer: asyncio.StreamWriter) -> None:
            request_id = message.headers["request-id"]
            await asyncio.sleep(0.02)
            counts["answers"] += 1
            writer.write(server.good_answer(request_id))
            if s.TROUBLE and counts["answers"] % SPOILT_SHARE == 0:
                counts["spoilt"] += 1
                asyncio.get_running_loop().call_later(LATE_S, writer.write, server.good_answer(request_id))

        return answer

    for server in servers:
        server.answer = answer_of(server)
        await server.start()
    discovery = s.Discovery(record, [server.entry(cell=n) for n, server in enumerate(servers)])
    await discovery.start()
    listen, admin = s.free_port(), s.free_port()
    config = platform.write_config(
        discovery.port,
        {"settings": s.settings(s.farm_classes()), "known": discovery.whole_list()},
        listen,
        admin,
    )
    try:
        node = platform.start_node(config, listen, admin)
        await platform.wait_ready(node)
        tasks, began = [], s.now()
        while s.now() - began < DURATION_S:
            name = f"r-{len(tasks)}"
            tasks.append(asyncio.create_task(s.send_one(node, "submit-build", name, 1200, record)))
            await asyncio.sleep(1 / CLIENT_RATE)
        results = await asyncio.gather(*tasks)
        foreign = [
            each for each in results if each.status == 200 and json.loads(each.body)["id"] != each.request_id
        ]
        for each in foreign:
            record.write("foreign", id=each.request_id, body=each.body)
        record.say(
            f"{len(results)} requests, {counts['spoilt']} second answers {1000 * LATE_S:.0f} ms late; "
            f"clients that were given the answer to another request: {len(foreign)}"
        )
        return bool(foreign)
    finally:
        await platform.stop_all()


if __name__ == "__main__":
    s.main(case, Path(__file__).resolve().parent)
