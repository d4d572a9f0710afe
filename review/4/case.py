"""LOST: the server that was chosen as the successor crashes before the order of its promotion."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import deployment as d
import traffic

# For how long the server is down.
DOWN = 5.0


async def case(deployment, hasTrouble):
    record = deployment.record
    group = await traffic.start_group(deployment, ["krk-a", "waw-a", "waw-b"])
    primary = group.servers[0]
    writers = traffic.Writers(deployment, 12, 0.03)
    await asyncio.sleep(4)
    served = len(writers.acknowledged)
    crashes = []

    async def crash(name):
        await asyncio.sleep(0.1)
        server = next(server for server in group.servers if server.name == name)
        record.write("server %s: crashes, received %s" % (name, server.position()))
        await server.stop()
        # The store drops the entry after three intervals of silence.
        await asyncio.sleep(3 * d.HEARTBEAT)
        await deployment.store.remove("servers", name)
        await asyncio.sleep(DOWN - 3 * d.HEARTBEAT)
        record.write("server %s: starts again with its log" % name)
        await server.start(group.primary())
        await server.report()

    def on_write(table, key, value):
        # The decision has been stored; the order follows once the leases on the old primary have ended.
        if key == "leader/kongres" and hasTrouble and not crashes:
            crashes.append(asyncio.ensure_future(crash(json.loads(value)["server"])))

    deployment.store.onWrite = on_write

    # Planned work: a new server starts first, then the old one drains and leaves.
    record.write("release: a new server starts")
    successor = group.add("i-new", "krk-a", "127.77.3.9")
    await successor.start(primary)
    await successor.report()
    await asyncio.sleep(1.5)
    record.write("release: the primary drains")
    primary.draining = True
    await primary.report()
    await asyncio.sleep(8)
    record.write("release: the primary leaves")
    await primary.stop()
    await deployment.store.remove("servers", primary.name)
    await asyncio.sleep(14)
    await writers.stop()
    if served < 100 or not group.promotions or (hasTrouble and not crashes):
        raise RuntimeError("%d writes were served before the release, %d promotions" % (served, len(group.promotions)))
    print("%d writes acknowledged, %d promotions" % (len(writers.acknowledged), len(group.promotions)))
    return writers.lost(group)


# With TROUBLE=0 the same happens without the disruption.
d.run(case, os.path.dirname(os.path.abspath(__file__)), os.environ.get("TROUBLE", "1") != "0")
