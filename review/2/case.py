"""LOST: a VM that replaces a primary is killed between its decision and its order."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import deployment as d
import traffic

RESTART = 3.5


async def case(deployment, hasTrouble):
    record = deployment.record
    group = await traffic.start_group(deployment, ["krk-a", "waw-a", "waw-b"])
    primary = group.servers[0]
    writers = traffic.Writers(deployment, 12, 0.03)
    readers = traffic.Readers(deployment, 4, 0.1)
    await asyncio.sleep(4)
    served = len(writers.acknowledged)
    killed = []

    async def kill(name):
        await asyncio.sleep(0.1)
        vm = next(vm for vm in deployment.vms if vm.name == name)
        vm.signal(signal.SIGKILL)
        vm.process.wait()
        await asyncio.sleep(RESTART)
        vm.start()

    holder = []

    def on_write(table, key, value):
        value = json.loads(value)
        if "holder" in value:
            holder.append(value["holder"])
        elif key == "leader/kongres" and hasTrouble and not killed:
            # The process that last wrote to the store under a condition is killed.
            killed.append(asyncio.ensure_future(kill(holder[-1])))

    deployment.store.onWrite = on_write

    # Planned work: a new server starts first, then the old one drains and leaves.
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
    await asyncio.sleep(20)
    await writers.stop()
    await readers.stop()
    if served < 100 or not group.promotions or (hasTrouble and not killed):
        raise RuntimeError("%d writes were served before the release, %d promotions" % (served, len(group.promotions)))
    print("%d writes acknowledged, %d promotions" % (len(writers.acknowledged), len(group.promotions)))
    return writers.lost(group)


# With TROUBLE=0 the same happens without the disruption.
d.run(case, os.path.dirname(os.path.abspath(__file__)), os.environ.get("TROUBLE", "1") != "0")
