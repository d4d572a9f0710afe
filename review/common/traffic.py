"""Clients that write all the time, and the check of rule LOST."""

import asyncio

import deployment as d


class Writers:
    """Sessions that each send one write after the other. The platform spreads sessions unevenly: all of them are at the last
    VM."""

    def __init__(self, deployment, count, pause):
        self.deployment, self.pause = deployment, pause
        # By request id: when it was sent, when it was answered with success, and the position of the answer.
        self.acknowledged = {}
        self.isStopping = False
        self.tasks = [asyncio.create_task(self.write(index)) for index in range(count)]

    def runningVm(self, index):
        vms = [vm for vm in self.deployment.vms[2:] if vm.process.poll() is None]
        return vms[index % len(vms)]

    async def write(self, index):
        client = None
        number = 0
        while not self.isStopping:
            try:
                if not client or not client.writer:
                    client = d.Client(self.deployment, self.runningVm(index), "agenda", "key-of-tenant-a")
                    await client.open()
                number += 1
                request, sentAt, reply = await client.query("WRITE i%d v%d" % (index, number))
                if reply and reply.ok():
                    self.acknowledged[request] = (sentAt, d.now(), reply.position)
                    await asyncio.sleep(self.pause)
                else:
                    index += 1
                    await asyncio.sleep(0.2)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ZeroDivisionError):
                index += 1
                if client:
                    client.close()
                await asyncio.sleep(0.2)
        if client:
            client.close()

    async def stop(self):
        self.isStopping = True
        await asyncio.gather(*self.tasks)

    def lost(self, group):
        """Returns the writes that were acknowledged to a client and are not in the log of a server that was promoted after a server had
        acknowledged them."""
        breaks = []
        missing = set()
        for tookEffectAt, name, term, log in group.promotions:
            for request, (sentAt, answeredAt, position) in self.acknowledged.items():
                acknowledgedAt = group.acknowledgedAt[request]
                if acknowledgedAt < tookEffectAt and request not in log and request not in missing:
                    missing.add(request)
                    breaks.append("LOST: write %s was acknowledged as %s, %.0f ms before %s was promoted, and is not in its log" % (
                        request, position, 1000 * (tookEffectAt - acknowledgedAt), name))
        return breaks


class Readers:
    """Sessions at the other VMs that only read."""

    def __init__(self, deployment, count, pause):
        self.deployment, self.pause = deployment, pause
        self.isStopping = False
        self.tasks = [asyncio.create_task(self.read(index)) for index in range(count)]

    async def read(self, index):
        client = None
        while not self.isStopping:
            try:
                if not client or not client.writer:
                    client = d.Client(self.deployment, self.deployment.vms[index % 2], "agenda", "key-of-tenant-a")
                    await client.open()
                await client.query("READ i%d" % index)
                await asyncio.sleep(self.pause)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                index += 1
                client.close()
                await asyncio.sleep(0.2)
        if client:
            client.close()

    async def stop(self):
        self.isStopping = True
        await asyncio.gather(*self.tasks)


async def start_group(deployment, zones):
    """Starts a group with its primary in the first zone, its route, and the VMs."""
    await deployment.startPlatform()
    group = deployment.addGroup("kongres")
    primary = None
    for index, zone in enumerate(zones):
        server = group.add("i-%s-%d" % ("primary" if index == 0 else "replica", index), zone, "127.77.3.%d" % (index + 1))
        server.primary = index == 0
        primary = primary or server
        await server.start(None if server is primary else primary)
    for server in group.servers:
        await server.report()
    deployment.addRoute("agenda", "primary", "kongres")
    await deployment.configure()
    await deployment.startVms()
    await asyncio.sleep(2)
    return group
