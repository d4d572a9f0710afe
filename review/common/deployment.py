"""Stand-ins for the platform, the backend servers and the clients, and the VM processes of a small deployment.

Everything runs on loopback addresses and the real clock. Only the VMs are processes of the project; they are started with the
command and the settings template of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# One-way delays of the site kongres-app, in seconds.
REGIONS = {"waw-a": "pl-central", "waw-b": "pl-central", "krk-a": "pl-south"}
STORE_ANSWER = 0.004
STORE_TRANSACTION = 0.006
PROMOTE = 0.3
HEARTBEAT = 1.2


def delay_between(zone, other):
    if zone == other:
        return 0.0001
    return 0.0005 if REGIONS[zone] == REGIONS[other] else 0.008


def now():
    return time.monotonic()


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.startedAt = now()

    def write(self, text):
        self.file.write("%9.4f %s\n" % (now() - self.startedAt, text))

    def close(self):
        self.file.close()


def free_port(addresses, count=1):
    """Returns the first of `count` consecutive ports that are free for TCP and UDP at all addresses."""
    while True:
        first = random.randrange(12000, 30000)
        held = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        held.append(one)
                        one.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()


class HttpServer:
    """A small HTTP/1.1 server. The handler returns (status, object), or None to leave the call without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    # Nothing further is delivered on a connection on which an answer was lost.
                    while await reader.read(4096):
                        pass
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's metadata store (form "table")."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Condition()
        # Called before an answer is sent; may wait, or return False to lose the answer.
        self.fault = None
        # Called with table, key and value when a VM has written a row.
        self.onWrite = None
        self.http = HttpServer(self.handle)

    async def start(self, address, port):
        self.address, self.port = address, port
        await self.http.start(address, port)

    async def put(self, table, key, value):
        """Writes a row for the operator or a backend server."""
        self.version += 1
        self.rows[(table, key)] = (value, self.version, False)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, table, key):
        if (table, key) not in self.rows or self.rows[(table, key)][2]:
            return
        self.version += 1
        self.rows[(table, key)] = (b"", self.version, True)
        async with self.changed:
            self.changed.notify_all()

    def row(self, name):
        value, version, deleted = self.rows[name]
        row = {"table": name[0], "part": "", "key": name[1], "ver": version}
        if deleted:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def head(self):
        return {"ver": self.version, "now_ms": int(now() * 1000)}

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if self.fault:
            verdict = await self.fault(method, url.path, query, body)
            if verdict is not None:
                return None if verdict == "silent" else verdict
        await asyncio.sleep(STORE_ANSWER)
        if url.path == "/rows-get":
            first = query.get("from", "")
            names = sorted(name for name in self.rows if name[0] == query["table"] and not self.rows[name][2] and name[1] >= first)
            limit = min(500, int(query.get("limit", "500")))
            return 200, dict(self.head(), rows=[self.row(name) for name in names[:limit]], has_more=len(names) > limit)
        if url.path == "/rows-feed":
            after = int(query["after"])
            until = now() + int(query["wait_ms"]) / 1000
            while True:
                names = [name for name in self.rows if name[0] == query["table"] and self.rows[name][1] > after]
                if names or now() >= until:
                    names.sort(key=lambda name: self.rows[name][1])
                    return 200, dict(self.head(), rows=[self.row(name) for name in names])
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                    except asyncio.TimeoutError:
                        pass
        if url.path == "/rows-tx":
            await asyncio.sleep(STORE_TRANSACTION)
            change = json.loads(body)
            for row in change.get("expect", []):
                current = self.rows.get((row["table"], row["key"]))
                if (current[1] if current and not current[2] else 0) != row["ver"]:
                    return 412, dict(self.head(), rows=[])
            self.version += 1
            for row in change.get("puts", []):
                if row["table"] in ("op", "servers"):
                    return 403, {}
                self.rows[(row["table"], row["key"])] = (base64.b64decode(row["value"]), self.version, False)
                if self.onWrite:
                    self.onWrite(row["table"], row["key"], base64.b64decode(row["value"]).decode())
                self.record.write("store: %s %s = %s" % (row["table"], row["key"], base64.b64decode(row["value"]).decode()))
            async with self.changed:
                self.changed.notify_all()
            return 200, self.head()
        return 404, {}


class Cloud:
    """The platform's call POST /promote."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = groups
        self.http = HttpServer(self.handle)

    async def start(self, address, port):
        self.address, self.port = address, port
        await self.http.start(address, port)

    async def handle(self, method, target, headers, body):
        if target != "/promote":
            return 404, {}
        order = json.loads(body)
        status = self.groups[order["service"]].promote(order["id"])
        self.record.write("platform: promote %s of %s by %s, fencing token %s: %d" % (
            order["id"], order["service"], headers.get("x-duty-holder"), headers.get("x-fencing-token"), status))
        return status, {}


class Entry:
    """A committed write in the log of a server."""

    def __init__(self, term, number, request, item, data):
        self.term, self.number, self.request, self.item, self.data = term, number, request, item, data


class Server:
    """A backend server with a replicated log and the platform's line protocol."""

    def __init__(self, group, name, zone, address):
        self.group, self.name, self.zone, self.address = group, name, zone, address
        self.port = free_port([address])
        self.running = False
        self.draining = False
        self.listed = False
        self.primary = False
        self.term = 1
        self.pausedFor = 0
        self.log = []
        # The server that this one receives from, or None.
        self.follows = None
        self.changed = asyncio.Condition()
        self.listener = None
        self.writers = set()
        self.tasks = []
        self.connections = 0

    async def start(self, follows=None):
        self.running = True
        self.pausedFor = 0
        self.follows = follows
        self.listener = await asyncio.start_server(self.serve, self.address, self.port)
        self.tasks = [asyncio.create_task(self.receive())]

    async def stop(self):
        """Ends the process: connections are reset, the log is kept."""
        self.running = False
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def position(self):
        return "%d.%d" % (self.term, len(self.log))

    def entry(self):
        return json.dumps({"service": self.group.service, "addr": "%s:%d" % (self.address, self.port), "zone": self.zone, "version": "v1",
            "slots": 8, "state": "draining" if self.draining else "ready", "cold_left_ms": 0, "seq": 1, "born": self.group.born,
            "db_role": "primary" if self.primary else "replica"}).encode()

    async def report(self):
        """Writes the entry of this server to the store."""
        self.listed = True
        self.group.record.write("store: servers %s = %s" % (self.name, self.entry().decode()))
        await self.group.store.put("servers", self.name, self.entry())

    async def receive(self):
        """Receives the log of the server that this one follows."""
        while True:
            source = self.follows
            canReceive = source and source.running and not self.pausedFor and not self.primary and source.primary
            if not canReceive or (len(self.log) >= len(source.log) and self.term == source.term):
                waiting = source or self
                async with waiting.changed:
                    try:
                        await asyncio.wait_for(waiting.changed.wait(), 0.02)
                    except asyncio.TimeoutError:
                        pass
                continue
            sent = list(source.log)
            term = source.term
            await asyncio.sleep(delay_between(source.zone, self.zone) + self.group.extraDelay(self))
            if self.follows is not source or self.pausedFor or self.primary or not self.running or term < self.term:
                continue
            common = 0
            while common < min(len(sent), len(self.log)) and sent[common] is self.log[common]:
                common += 1
            # Another delivery may have brought more of the same log.
            if common == len(sent) and term == self.term:
                continue
            self.log = sent
            self.term = term
            asyncio.get_running_loop().call_later(delay_between(source.zone, self.zone), self.acknowledge, source, term, len(sent))

    def acknowledge(self, source, term, count):
        """Tells the primary what this replica has received."""
        if source.running and source.primary and source.term == term and self.running:
            source.acknowledged = max(source.acknowledged, count)
            asyncio.ensure_future(source.notify())

    acknowledged = 0

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        delay = delay_between(self.group.vmZone, self.zone)
        replies = asyncio.Queue()

        async def send():
            while True:
                sendAt, text = await replies.get()
                await asyncio.sleep(max(0, sendAt - now()))
                if text is None:
                    writer.close()
                    return
                writer.write(text.encode())

        sender = asyncio.create_task(send())
        requests = asyncio.Queue()

        async def read():
            try:
                while True:
                    line = await reader.readuntil(b"\r\n")
                    requests.put_nowait((now() + delay, line[:-2].decode()))
            except (asyncio.IncompleteReadError, ConnectionError):
                requests.put_nowait((now() + delay, None))

        receiver = asyncio.create_task(read())
        session = {"tenant": None, "values": {}, "prepared": {}, "state": "I", "readOnly": False, "writes": [], "term": 0}
        try:
            while True:
                handleAt, line = await requests.get()
                await asyncio.sleep(max(0, handleAt - now()))
                if line is None or not self.running:
                    return
                out = await self.handle(session, line)
                replies.put_nowait((now() + delay, out))
                if out is None:
                    await sender
                    return
        except asyncio.CancelledError:
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            receiver.cancel()
            sender.cancel()
            writer.close()

    async def handle(self, session, line):
        """Returns the reply to one line, or None to close the connection."""
        word, _, rest = line.partition(" ")
        if word == "START":
            fields = rest.split(" ")
            if fields[0] != self.group.service or (len(fields) > 2 and fields[2] != self.name):
                return "ERROR MISROUTED %s\r\n" % self.name
            session["tenant"] = fields[1] if len(fields) > 1 else ""
            return "READY I %s\r\n" % self.position()
        if word != "QUERY":
            return None
        request, _, text = rest.partition(" ")
        return await self.query(session, request, text)

    def ready(self, session):
        return "READY %s %s\r\n" % (session["state"], self.position())

    def refuse(self, session, code):
        if session["state"] == "T":
            session["state"] = "E"
        return "ERROR %s %s\r\n" % (code, self.name) + self.ready(session)

    def digest(self, request):
        return "7.%s.%s.%08x" % (self.name, request, random.getrandbits(32))

    def status(self, session):
        return "ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n" % ("primary" if self.primary else "replica", self.term, self.position(),
            self.pausedFor, self.connections) + self.ready(session)

    async def query(self, session, request, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            term, number = map(int, position.split("."))
            if (self.term, len(self.log)) < (term, number) and not self.term > term:
                return self.refuse(session, "LAGGING")
            word, _, rest = text.partition(" ")
        done = "DONE -\r\n"
        if word == "STATUS":
            return self.status(session)
        if word == "PAUSE":
            if not self.primary and int(rest) > self.term:
                self.pausedFor = int(rest)
            self.group.record.write("server %s: PAUSE %s, received %s" % (self.name, rest, self.position()))
            return self.status(session)
        if word == "RESUME":
            self.pausedFor = 0
            return self.status(session)
        if word == "DEMOTE":
            if self.primary and self.term < int(rest):
                self.primary = False
                self.follows = self.group.primary()
                await self.notify()
            self.group.record.write("server %s: DEMOTE %s, received %s" % (self.name, rest, self.position()))
            return self.status(session)
        if word == "RESET":
            session["values"], session["prepared"] = {}, {}
            return done + self.ready(session)
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return done + self.ready(session)
        if word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            session["prepared"][name] = (mode, shape)
            return done + self.ready(session)
        if word == "CLOSE":
            session["prepared"].pop(rest, None)
            return done + self.ready(session)
        if word == "ROLLBACK":
            session["state"], session["writes"] = "I", []
            return done + self.ready(session)
        if word == "BEGIN":
            session["readOnly"] = rest == "READ"
            if not session["readOnly"] and not self.primary:
                return self.refuse(session, "READONLY")
            session["state"], session["writes"], session["term"] = "T", [], self.term
            return done + self.ready(session)
        if session["state"] == "E":
            return self.refuse(session, "MALFORMED")
        if session["state"] == "T" and not session["readOnly"] and (not self.primary or self.term != session["term"]):
            if not (word == "COMMIT" and not session["writes"]):
                return self.refuse(session, "READONLY")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self.refuse(session, "NOSTMT")
            word = session["prepared"][name][0]
        await asyncio.sleep(self.group.workTime)
        if not self.running:
            return None
        if word == "COMMIT":
            writes, session["writes"], session["state"] = session["writes"], [], "I"
            self.group.record.write("server %s: runs COMMIT %s" % (self.name, request))
            return await self.commit(session, request, writes)
        item, _, data = rest.partition(" ")
        if word == "READ":
            value = next((entry.data for entry in reversed(self.log) if entry.item == item), "0")
            self.group.record.write("server %s: runs READ %s %s at %s" % (self.name, request, item, self.position()))
            return "ROW %s\r\nDONE %s\r\n" % (value, self.digest(request)) + self.ready(session)
        if word == "WRITE":
            if session["readOnly"] and session["state"] == "T":
                return self.refuse(session, "READONLY")
            if session["state"] == "T":
                session["writes"].append((item, data))
                return "DONE %s\r\n" % self.digest(request) + self.ready(session)
            if not self.primary:
                return self.refuse(session, "READONLY")
            return await self.commit(session, request, [(item, data)])
        return self.refuse(session, "MALFORMED")

    async def commit(self, session, request, writes):
        if not writes:
            return "DONE %s\r\n" % self.digest(request) + self.ready(session)
        if not self.primary:
            return self.refuse(session, "READONLY")
        term = self.term
        self.log = self.log + [Entry(term, len(self.log) + 1, request, item, data) for item, data in writes]
        end = len(self.log)
        self.group.record.write("server %s: commit %d.%d of %s" % (self.name, term, end, request))
        await self.notify()
        # Acknowledged once one replica has received it.
        while self.running and self.primary and self.term == term and self.acknowledged < end:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.05)
                except asyncio.TimeoutError:
                    pass
        if not self.running or not self.primary or self.term != term:
            # The server has lost the lead: it promises nothing.
            return None
        self.group.acknowledgedAt[request] = now()
        return "DONE %s\r\n" % self.digest(request) + "READY I %d.%d\r\n" % (term, end)


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, service, store, record, vmZone="waw-a"):
        self.service, self.store, self.record, self.vmZone = service, store, record, vmZone
        self.born = int(time.time() * 1000)
        self.servers = []
        self.workTime = 0.003
        # Each promotion that took effect: (time, server, term, the ids of the requests in its log).
        self.promotions = []
        # When each write was acknowledged by the server that committed it.
        self.acknowledgedAt = {}
        self.extraDelays = {}

    def extraDelay(self, server):
        return self.extraDelays.get(server.name, 0)

    def add(self, name, zone, address):
        server = Server(self, name, zone, address)
        self.servers.append(server)
        return server

    def primary(self):
        leading = [server for server in self.servers if server.running and server.primary]
        return max(leading, key=lambda server: server.term) if leading else None

    def promote(self, name):
        found = [server for server in self.servers if server.name == name and server.running]
        if not found:
            return 409
        if found[0] is self.primary():
            return 200
        asyncio.get_running_loop().call_later(PROMOTE, lambda: asyncio.ensure_future(self.takeEffect(found[0])))
        return 200

    async def takeEffect(self, server):
        if not server.running or server is self.primary():
            return
        term = max(each.term for each in self.servers) + 1
        formers = [each for each in self.servers if each.primary and each.running]
        server.primary, server.term, server.pausedFor, server.follows = True, term, 0, None
        server.acknowledged = 0
        self.promotions.append((now(), server.name, term, {entry.request for entry in server.log}))
        self.record.write("platform: %s leads term %d from %d.%d" % (server.name, term, server.term, len(server.log)))
        for each in self.servers:
            if each is not server and not each.primary:
                each.pausedFor = 0
                each.follows = server
        for former in formers:
            asyncio.get_running_loop().call_later(1.0, lambda former=former: asyncio.ensure_future(self.endLead(former, server)))
        await server.notify()
        for each in self.servers:
            await each.notify()
            if each.listed and each.running:
                await each.report()

    async def endLead(self, former, server):
        """A former primary learns of its successor."""
        if former.primary and former.term < server.term:
            former.primary = False
            former.follows = server
            await former.notify()
            if former.listed and former.running:
                await former.report()


class Vm:
    """A process of the project on a machine with an address of its own."""

    def __init__(self, deployment, index, zone="waw-a"):
        self.deployment, self.index = deployment, index
        self.name = "front-%s-%d" % (zone, index + 1)
        self.zone = zone
        self.address = "127.77.1.%d" % (index + 1)
        self.process = None

    def settings(self):
        d = self.deployment
        return {"node": self.name, "zone": self.zone, "region": REGIONS[self.zone], "zones": REGIONS,
            "port_range": [d.firstPort + 3, d.firstPort + 18], "seeds": ["%s:%d" % (vm.address, d.firstPort + 2) for vm in d.vms[:3]],
            "listen": {"front": "%s:%d" % (self.address, d.firstPort), "ready": "%s:%d" % (self.address, d.firstPort + 1),
                "control": "%s:%d" % (self.address, d.firstPort + 2)},
            "limits": {"cpu_share": 0.25},
            "bounds": {"grace_s": 6, "quota_window_s": 5, "quota_excess": 0.1, "quota_slack": 20, "config_ms": 3000, "revoke_ms": 5000,
                "drain_ms": 7000},
            "platform": {"addr": "%s:%d" % (d.store.address, d.store.port)},
            "cloud_api": {"addr": "%s:%d" % (d.cloud.address, d.cloud.port)}}

    def start(self):
        d = self.deployment
        role = d.role
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), self.settings())
        path = os.path.join(d.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(text)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FOXTAILTRAIL_CONFIG"] = path
        log = open(os.path.join(d.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(role["run"].split(" "), cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        d.record.write("%s starts, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.deployment.record.write("%s: signal %d" % (self.name, number))
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.deployment.firstPort + 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


def render(template, settings):
    """Fills in the placeholders that deploy/vm.yaml uses."""

    def replace(match):
        value = settings
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", replace, template)


class Reply:
    def __init__(self):
        self.rows, self.digest, self.error, self.state, self.position = [], None, None, None, None

    def ok(self):
        return self.error is None and self.digest is not None


class Client:
    """A consumer's session."""

    def __init__(self, deployment, vm, database, key, clientDelay=0.003):
        self.deployment, self.vm, self.database, self.key, self.delay = deployment, vm, database, key, clientDelay
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.vm.address, self.deployment.firstPort), 2)
        self.writer.write(("START %s %s\r\n" % (self.database, self.key)).encode())
        reply = await asyncio.wait_for(self.reply(), 2)
        if reply.error:
            raise ConnectionError(reply.error)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def reply(self):
        reply = Reply()
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == "ROW":
                reply.rows.append(rest)
            elif word == "DONE":
                reply.digest = rest
            elif word == "ERROR":
                reply.error = rest
            elif word == "READY":
                reply.state, _, reply.position = rest.partition(" ")
                return reply

    async def query(self, text, limit=3):
        """Sends one statement. Returns its id, when it was sent, and the reply, or None without one."""
        request = "%016x" % random.getrandbits(64)
        sentAt = now()
        self.deployment.record.write("client: %s via %s: %s" % (request, self.vm.name, text))
        try:
            self.writer.write(("QUERY %s %s\r\n" % (request, text)).encode())
            reply = await asyncio.wait_for(self.reply(), limit)
            self.deployment.record.write("client: %s answered: %s %s" % (request, reply.error or "DONE " + reply.digest, reply.position))
            return request, sentAt, reply
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as error:
            self.deployment.record.write("client: %s without an answer (%s)" % (request, type(error).__name__))
            self.close()
            return request, sentAt, None


class Deployment:
    """The platform, the groups, and the VMs."""

    def __init__(self, caseFolder, vmCount=3, zone="waw-a"):
        self.record = Record(caseFolder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            self.role = dict(re.findall(r'^(\w+) = "(.*)"$', file.read().split("[roles.vm]")[1], re.MULTILINE))
        self.store = Store(self.record)
        self.groups = {}
        self.cloud = Cloud(self.record, self.groups)
        self.vms = [Vm(self, index, zone) for index in range(vmCount)]
        self.firstPort = free_port([vm.address for vm in self.vms], 20)
        self.version = 0
        self.routes = []
        self.keys = {"tenant-a": ["key-of-tenant-a"]}

    def addGroup(self, service):
        self.groups[service] = Group(service, self.store, self.record, self.vms[0].zone)
        return self.groups[service]

    async def startPlatform(self):
        await self.store.start("127.77.2.1", free_port(["127.77.2.1"]))
        await self.cloud.start("127.77.2.2", free_port(["127.77.2.2"]))

    async def configure(self):
        self.version += 3
        document = {"version": self.version, "routes": self.routes,
            "services": [{"name": service, "health_path": "/health", "max_conns": 34, "sync_replicas": 1} for service in self.groups],
            "limits": {"tx_idle_ms": 3000},
            "tenants": [{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 5000, "burst": 5000}
                for name, keys in self.keys.items()]}
        await self.store.put("op", "config", json.dumps(document).encode())

    def addRoute(self, database, kind, service, staleness=None):
        route = {"name": "r-" + database, "host": database, "prefix": "/", "type": kind, "timeout_ms": 800, "objective_ms": 300,
            "priority": 1, "service": service, "max_attempts": 2, "public": False}
        if staleness:
            route["max_staleness_ms"] = staleness
        self.routes.append(route)

    async def startVms(self):
        for vm in self.vms:
            vm.start()
        until = now() + 20
        while now() < until:
            if all([await vm.ready() for vm in self.vms]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the VMs did not become ready")

    def killVms(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            if vm.process:
                vm.process.wait()

    def stop(self):
        self.killVms()
        self.record.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, hasTrouble, limit=110, **options):
    """Runs a case: a coroutine that takes the deployment and whether the disruption comes, and returns the breaks of the rule as texts.
    The exit status is 1 when the rule was broken, 0 when it held, and 2 when the case could not run."""
    async def whole():
        deployment = Deployment(folder, **options)
        # A case that hangs ends its processes and fails.
        def abort(*_):
            deployment.killVms()
            shutil.rmtree(deployment.folder, ignore_errors=True)
            os._exit(2)

        watchdog = threading.Timer(limit + 5, abort)
        watchdog.daemon = True
        watchdog.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, abort)
        try:
            return await asyncio.wait_for(case(deployment, hasTrouble), limit)
        finally:
            deployment.stop()

    status = 2
    try:
        breaks = asyncio.new_event_loop().run_until_complete(whole())
        for text in breaks[:10]:
            print(text)
        print("%d breaks of the rule" % len(breaks))
        with open(os.path.join(folder, "record.txt"), "a") as file:
            for text in breaks:
                file.write("BROKEN: %s\n" % text)
        status = 1 if breaks else 0
    except BaseException as error:
        print("the case could not run: %s: %s" % (type(error).__name__, error), file=sys.stderr)
    sys.stdout.flush()
    sys.stderr.flush()
    # Tasks of the stand-ins still wait for connections.
    os._exit(status)
