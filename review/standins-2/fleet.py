"""Stand-ins for the clients, database instances, operator and platform of a
small deployment, and the start of the project's own programs beside them.

Every address is a loopback address; each machine has its own. The stand-ins
speak what PROTOCOL.md says, and behave like sound ones where it is silent.
"""
import asyncio
import itertools
import json
import math
import os
import random
import signal
import socket
import sys
import tempfile
import time
import shutil

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "platform", "stepledge")
ZONES = ["vastra-a", "vastra-b", "vastra-c"]
CONTROL_PORT, FRONT_PORT, READY_PORT, PLATFORM_PORT = 18782, 18784, 18785, 18783
INSTANCE_PORT = 18080
PORT_RANGE = [17440, 17455]
HEARTBEAT_S = 1.2
DRAIN_S = 7.0
SEED_LAG_S = 3.0


class CannotRun(Exception):
    """The case couldn't be run; it says nothing of the rule."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        self.file.write("%9.3f  %s\n" % (self.now(), " ".join(map(str, words))))

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- instances

class Instance:
    """One database instance: a log, a role, and the heartbeats that tell it."""

    numbers = itertools.count(1)

    def __init__(self, fleet, group, zone, ip, role, log=()):
        self.fleet, self.group, self.zone, self.ip = fleet, group, zone, ip
        self.id = "i-%06x%02x" % (fleet.random.getrandbits(24), next(Instance.numbers))
        self.role = role
        self.log = list(log)
        self.state = "ready"
        self.sequence = 0
        self.paused_term = 0
        self.lag = (-1, 0.0)
        self.is_deaf = False
        self.is_over = False
        self.busy_until = 0.0
        self.slots = asyncio.Semaphore(3)
        self.connections = set()
        self.server = None
        self.beating = None
        self.wake = asyncio.Event()
        self.joined = asyncio.Event()
        self.joined.set()

    def cut(self):
        """The nodes of the system no longer reach it, nor it them."""
        self.joined.clear()
        self.fleet.record.write("instance", self.id, "is cut off from the nodes")

    def heal(self):
        self.joined.set()
        self.fleet.record.write("instance", self.id, "reaches the nodes again")

    @property
    def address(self):
        return "%s:%d" % (self.ip, INSTANCE_PORT)

    def end_of_log(self):
        return self.log[-1][:2] if self.log else (1, 0)

    def position(self):
        return "%d.%d" % self.end_of_log()

    def has(self, mark):
        term, number = mark
        end = self.end_of_log()
        return end >= (term, number)

    def value(self, thing):
        for entry in reversed(self.log):
            if entry[2] == thing:
                return entry[3]
        return "-"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, INSTANCE_PORT, limit=1 << 21)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while not self.is_over:
            await self.joined.wait()
            await self.tell("Heartbeat")
            try:
                await asyncio.wait_for(self.wake.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                pass
            self.wake.clear()

    async def tell(self, what):
        """Calls one control node after the other until one acknowledges."""
        self.sequence += 1
        body = json.dumps({
            "service": self.group.service, "address": self.address, "zone": self.zone,
            "version": "v1", "capacity": 3, "state": self.state, "warmup_left_ms": 0,
            "db_role": self.role, "sequence": self.sequence}).encode()
        for ip in self.fleet.control_order(self.zone):
            status = await http_call(ip, CONTROL_PORT, "POST", "/-/Instances.%s/%s" % (what, self.id), body)
            if status and 200 <= status[0] < 300:
                return True
        return False

    async def leave(self, longer_s=1.0):
        """A planned end: says draining, serves on, deregisters, ends."""
        self.state = "draining"
        self.fleet.record.write("instance", self.id, self.group.service, "says draining, role", self.role)
        for _ in range(5):
            if await self.tell("Heartbeat"):
                break
            await asyncio.sleep(1)
        self.fleet.record.write("instance", self.id, "draining acknowledged")
        await asyncio.sleep(DRAIN_S + longer_s)
        is_told = await self.tell("Deregister")
        self.fleet.record.write("instance", self.id, "deregistered", is_told, "and ends, role", self.role)
        await self.end()

    async def crash(self, down_s):
        """Says nothing, and is back at its address under a new id, with its log:
        as primary, or as replica if another was promoted meanwhile."""
        was_primary, at = self.role == "primary", self.ip
        self.fleet.record.write("instance", self.id, "of", self.group.service, "crashes, role", self.role)
        self.is_over = True
        self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.group.removed(self)
        role = "primary" if was_primary and not self.group.primary() else "replica"
        back = Instance(self.fleet, self.group, self.zone, at, role, self.log)
        self.group.instances.append(back)
        await back.start()
        if role == "replica":
            self.group.catch_up(back)
        self.fleet.record.write("instance", back.id, "is back at its address, role", role)

    async def end(self):
        self.is_over = True
        self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        self.group.removed(self)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.at, self.reader, self.writer = instance, reader, writer
        self.state = "I"
        self.who = "-"
        self.is_read_only = False
        self.was_primary = False
        self.pending = []
        self.values = {}
        self.prepared = {}

    def send(self, *lines):
        self.writer.write("".join(it + "\r\n" for it in lines).encode())

    def ready(self):
        return "READY %s %s" % (self.state, self.at.position())

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def uncut(self):
        await self.at.joined.wait()

    async def run(self):
        words = (await self.line()).split(" ")
        await self.uncut()
        if words[0] != "CONNECT" or words[1] != self.at.group.service or (len(words) > 3 and words[3] != self.at.id):
            return self.send("ERROR WRONGNODE %s" % self.at.id)
        self.who = words[2]
        if len(self.at.connections) > self.at.fleet.max_connections:
            return self.send("ERROR TOOMANY %s" % self.at.id)
        await asyncio.sleep(0.012)
        self.send(self.ready())
        while True:
            line = await self.line()
            if line == "QUIT":
                return
            word, request, text = line.split(" ", 2)
            await self.uncut()
            await self.query(request, text)
            await self.writer.drain()

    def fail(self, code):
        if self.state == "T":
            self.state = "E"
        self.send("ERROR %s %s" % (code, self.at.id), self.ready())

    def done(self, signature="-", rows=()):
        self.send(*["ROW " + it for it in rows], "DONE " + signature, self.ready())

    async def query(self, request, text):
        at = self.at
        after = None
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = words[1].split(".")
            after = (int(term), int(number))
            words = words[2:]
        word = words[0]
        if word == "STATUS" or word == "PAUSE" or word == "RESUME" or word == "DEMOTE":
            return self.manage(word, words)
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return self.done()
        if word == "SET":
            self.values[words[1]] = " ".join(words[2:])
            return self.done()
        if word == "PREPARE":
            self.prepared[words[1]] = words[2]
            return self.done()
        if word == "DEALLOC":
            self.prepared.pop(words[1], None)
            return self.done()
        if word == "ROLLBACK":
            self.state, self.pending = "I", []
            return self.done()
        if self.state == "E":
            return self.fail("MALFORMED")
        if word == "BEGIN":
            self.is_read_only = words[1:2] == ["READ"]
            if not self.is_read_only and at.role != "primary":
                return self.fail("READONLY")
            if after and not at.has(after):
                return self.fail("LAGGING")
            self.was_primary = at.role == "primary"
            self.state, self.pending = "T", []
            return self.done()
        if self.state == "T" and not self.is_read_only and at.role != "primary" and not (word == "COMMIT" and not self.pending):
            return self.fail("READONLY")
        if word == "EXECUTE":
            mode = self.prepared.get(words[1])
            if mode is None:
                return self.fail("NOSTMT")
            word, words = mode, [mode] + words[2:]
        if word == "WRITE" and (at.role != "primary" or self.state == "T" and self.is_read_only):
            return self.fail("READONLY")
        async with at.slots:
            # NOTE: a thing whose name says so takes that many ms of work.
            slow = words[1].partition("-slow-")[2] if len(words) > 1 else ""
            await asyncio.sleep(int(slow) / 1000 if slow else 0.004)
            if word == "READ":
                if after and not at.has(after):
                    return self.fail("LAGGING")
                row = at.value(words[1])
                at.fleet.ran(at, request, text, self.who)
                return self.done(at.fleet.signature(), [row])
            if word == "WRITE" and self.state == "T":
                self.pending.append((words[1], " ".join(words[2:]), request))
                at.fleet.ran(at, request, text, self.who)
                return self.done(at.fleet.signature())
            if word not in ("WRITE", "COMMIT"):
                return self.fail("MALFORMED")
            writes = [(words[1], " ".join(words[2:]), request)] if word == "WRITE" else self.pending
            if at.role != "primary" and writes:
                return self.fail("READONLY")
            entry = None
            for thing, data, origin in writes:
                entry = at.group.append(at, thing, data, origin)
            at.fleet.ran(at, request, text, self.who)
        self.pending = []
        if entry is not None:
            await at.group.synced(at, entry)
        self.state = "I"
        await self.uncut()
        self.done(at.fleet.signature())

    def manage(self, word, words):
        at = self.at
        group = at.group
        if word == "PAUSE" and at.role == "replica":
            at.paused_term = int(words[1])
            at.fleet.record.write("instance", at.id, "paused at", at.position())
        elif word == "RESUME":
            if at.paused_term:
                at.fleet.record.write("instance", at.id, "resumed at", at.position())
            at.paused_term = 0
            group.catch_up(at)
        elif word == "DEMOTE" and int(words[1]) > group.term:
            at.role = "replica"
        row = "%s %d %s %d 0 0 %d" % (at.role, group.term, at.position(), max(at.paused_term, group.term), len(at.connections))
        self.done(rows=[row])


class Group:
    """A service: a primary and its replicas, which receive its log later."""

    def __init__(self, fleet, service, lag_s=0.06, sync_replicas=0, promote_s=0.3):
        self.fleet, self.service, self.lag_s = fleet, service, lag_s
        self.sync_replicas, self.promote_s = sync_replicas, promote_s
        self.term = 1
        self.instances = []
        self.receipts = {}
        self.on_promote = None

    def primary(self):
        for it in self.instances:
            if it.role == "primary" and not it.is_over:
                return it
        return None

    def append(self, primary, thing, data, origin):
        entry = (self.term, primary.end_of_log()[1] + 1, thing, data, origin)
        primary.log.append(entry)
        for it in self.instances:
            if it is not primary:
                asyncio.get_running_loop().call_later(self.delay_to(it), self.receive, it, primary, entry)
        return entry

    def delay_to(self, replica):
        """The replica's lag of this second; as a site file has it, lag_ms =
        { mean = 60.0, spread = 0.6, max = 360.0 }."""
        second = int(self.fleet.record.now())
        if replica.lag[0] != second:
            drawn = self.fleet.random.lognormvariate(math.log(self.lag_s) - 0.18, 0.6)
            replica.lag = (second, min(drawn, 6 * self.lag_s))
        return replica.lag[1]

    def receive(self, replica, primary, entry):
        """\\p entry reaches \\p replica with all before it."""
        if replica.is_over or replica.is_deaf or replica.paused_term or replica.role == "primary" or self.primary() is not primary:
            return
        at = next((i for i, it in enumerate(primary.log) if it[:2] == entry[:2]), None)
        if at is None or replica.end_of_log() >= entry[:2]:
            return
        replica.log = primary.log[:at + 1]
        for waiter in self.receipts.pop(entry[:2], []):
            if not waiter.done():
                waiter.set_result(None)
        for mark in [it for it in self.receipts if it <= entry[:2]]:
            for waiter in self.receipts.pop(mark):
                if not waiter.done():
                    waiter.set_result(None)

    def catch_up(self, replica):
        primary = self.primary()
        if primary and primary is not replica and primary.log:
            asyncio.get_running_loop().call_later(self.delay_to(replica), self.receive, replica, primary, primary.log[-1])

    async def synced(self, primary, entry):
        if self.sync_replicas < 1:
            return
        waiter = asyncio.get_running_loop().create_future()
        self.receipts.setdefault(entry[:2], []).append(waiter)
        await waiter

    def removed(self, instance):
        if instance.role == "primary":
            instance.role = "gone"

    def promote(self, target):
        """Carried out: the target leads the next term with what it has."""
        old = self.primary()
        if target is old:
            return
        self.term += 1
        if self.on_promote:
            self.on_promote(old, target)
        if old:
            old.role = "replica"
            old.wake.set()
        target.role, target.paused_term = "primary", 0
        for it in self.instances:
            if it is not target and not it.is_over:
                common = sum(1 for a, b in zip(it.log, target.log) if a[:2] == b[:2])
                it.log = target.log[:common] if it.is_deaf else list(target.log)
                it.paused_term = 0
        target.wake.set()
        self.fleet.record.write("platform: instance", target.id, "leads", self.service, "term", self.term)


# ----------------------------------------------------------------- platform

class Platform:
    """POST /promote, with its check of fences."""

    def __init__(self, fleet, ip):
        self.fleet, self.ip = fleet, ip
        self.fences = {}
        self.server = None
        # NOTE: while it is so, each second call gets no answer.
        self.is_late = False
        self.calls = 0
        self.late_s = 0.0

    async def up(self):
        self.server = await asyncio.start_server(self.serve, self.ip, PLATFORM_PORT)
        self.fleet.record.write("platform: up")

    async def down(self):
        self.server.close()
        await self.server.wait_closed()
        self.server = None
        self.fleet.record.write("platform: down")

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(it.split(": ", 1) for it in head.split("\r\n")[1:] if ": " in it)
            fields = {name.lower(): value for name, value in fields.items()}
            body = json.loads(await reader.readexactly(int(fields.get("content-length", 0))))
            fence, holder = int(fields["x-fencing-token"]), fields["x-lease-holder"]
            self.calls += self.is_late
            if self.is_late and self.calls % 2 == 1:
                self.fleet.record.write("platform: call", body["service"], body["id"], "fence", fence, "by", holder, "gets no answer")
                await asyncio.sleep(self.late_s)
                status = self.carry_out(body, fence)
                self.fleet.record.write("platform: late call", body["service"], body["id"], "fence", fence, "carried out:", status)
                return
            status = self.carry_out(body, fence)
            self.fleet.record.write("platform: call", body["service"], body["id"], "fence", fence, "by", holder, "gets", status)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}" % status)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def carry_out(self, body, fence):
        if fence < self.fences.get(body["service"], 0):
            return 409
        self.fences[body["service"]] = fence
        group = self.fleet.groups[body["service"]]
        target = next((it for it in group.instances if it.id == body["id"] and not it.is_over), None)
        if target is None:
            return 409
        asyncio.get_running_loop().call_later(group.promote_s, group.promote, target)
        return 200


# ------------------------------------------------------------------- http

async def http_call(ip, port, method, path, body=b"", timeout=1.0):
    async def call():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(b"%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % (
                method.encode(), path.encode(), ip.encode(), port, len(body)) + body)
            await writer.drain()
            data = await reader.read()
        finally:
            writer.close()
        head, _, rest = data.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), rest
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


# ------------------------------------------------------------------ clients

PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}


class Session:
    """A client's connection to one entry."""

    def __init__(self, fleet, entry):
        self.fleet, self.entry = fleet, entry
        self.reader = self.writer = None

    async def connect(self, database, key="u1"):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.entry.ip, FRONT_PORT, limit=1 << 21), 2)
        self.writer.write(("CONNECT %s %s\r\n" % (database, key)).encode())
        line = await asyncio.wait_for(self.line(), 2)
        if not line.startswith("READY"):
            self.close()
            raise ConnectionError(line)

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def ask(self, text, timeout=2.5):
        """Returns (request, code, rows, state, position); code 'DONE' is a success."""
        request = "%016x" % self.fleet.random.getrandbits(64)
        self.fleet.asked[request] = text
        self.writer.write(("QUERY %s %s\r\n" % (request, text)).encode())
        code, rows = None, []
        try:
            while True:
                line = await asyncio.wait_for(self.line(), timeout)
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    code = "DONE"
                elif word == "ERROR":
                    code = rest.split(" ")[0]
                elif word == "READY":
                    state, _, position = rest.partition(" ")
                    return request, code, rows, state, position
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return request, code or "BROKEN", rows, "-", "-"

    def close(self):
        if self.writer:
            self.writer.close()


class Load:
    """Clients that each run one operation after the other, with two retries."""

    def __init__(self, fleet, clients=24, pause_s=0.08):
        self.fleet, self.pause_s = fleet, pause_s
        # NOTE: (sent at, served or not), the first try's time.
        self.outcomes = []
        self.tasks = [asyncio.create_task(self.client(i)) for i in range(clients)]

    async def client(self, number):
        databases = sorted(self.fleet.databases)
        session, database = None, None
        while True:
            database = databases[self.fleet.random.randrange(len(databases))]
            policy = self.fleet.databases[database][1]
            share = {"primary": 0.2, "read_your_writes": 0.12}.get(policy, 0.0)
            thing = "%x" % self.fleet.random.randrange(2000)
            is_write = self.fleet.random.random() < share
            text = "WRITE %s %08x" % (thing, self.fleet.random.getrandbits(32)) if is_write else "READ " + thing
            sent_at, is_served, codes = self.fleet.record.now(), False, []
            for attempt in range(3):
                if self.fleet.record.now() - sent_at > 2.5:
                    break
                code = await self.attempt(database, text)
                codes.append(code)
                if code == "DONE":
                    is_served = True
                    break
                if is_write and code not in PROMISES and code != "NOCONNECTION":
                    break
                await asyncio.sleep(0.1 * (attempt + 1))
            self.outcomes.append((sent_at, is_served))
            self.fleet.record.write("client", number, database, text, "->", ",".join(codes))
            await asyncio.sleep(self.pause_s * self.fleet.random.uniform(0.5, 1.5))

    async def attempt(self, database, text):
        session = Session(self.fleet, self.fleet.any_entry())
        try:
            await session.connect(database)
            return (await session.ask(text))[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return "NOCONNECTION"
        finally:
            session.close()

    def share(self, since, until):
        sent = [it for it in self.outcomes if since <= it[0] < until]
        return (sum(it[1] for it in sent) / len(sent) if sent else 0.0), len(sent)

    def stop(self):
        for it in self.tasks:
            it.cancel()


# ---------------------------------------------------------------- processes

class Machine:
    """One machine of the system and its process."""

    def __init__(self, fleet, role, zone, ip, number):
        self.fleet, self.role, self.zone, self.ip = fleet, role, zone, ip
        self.name = "%s-%s-%d" % ("front" if role == "entry" else "core", zone, number)
        self.folder = os.path.join(fleet.folder, self.name)
        os.makedirs(self.folder)
        self.process = None
        self.is_ready = False

    def settings(self, is_first):
        seeds = ["%s:%d" % (it.ip, CONTROL_PORT) for it in self.fleet.controls[:3]]
        binds = ({"front": "%s:%d" % (self.ip, FRONT_PORT), "ready": "%s:%d" % (self.ip, READY_PORT)}
                 if self.role == "entry" else {"control": "%s:%d" % (self.ip, CONTROL_PORT)})
        return {
            "node_name": self.name, "role": self.role,
            "machine_class": "front" if self.role == "entry" else "core",
            "serves": ["front"] if self.role == "entry" else ["control"],
            "ip": self.ip, "zone": self.zone, "region": "vastra",
            "zones": {it: "vastra" for it in ZONES}, "bind_addrs": binds,
            "port_range": PORT_RANGE, "seed_nodes": seeds, "bootstrap": is_first,
            "counts_as_loss": self.role == "control",
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4200, "bandwidth_mbps": 1000.0, "disk_mb": 128 if self.role == "control" else 0},
            "data_dir": os.path.join(self.folder, "data") if self.role == "control" else None,
            "discovery": "registry", "entrypoint": "vip", "heartbeat_ms": 1200,
            "policies": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250, "outer_ms": 12000, "recovery_s": 12, "require_fencing": True, "thaw_ms": 300},
            "config_mode": "highest",
            "cloud_api": {"address": "%s:%d" % (self.fleet.platform.ip, PLATFORM_PORT), "rate_per_s": 50.0, "duties": ["failover"], "duty_per_s": 50.0},
        }

    async def start(self, is_first=False):
        path = os.path.join(self.folder, "node.json")
        with open(path, "w") as out:
            json.dump(self.settings(is_first), out)
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, self.role, cwd=ROOT, env={**keep, "STEPLEDGE_BOOT": path}, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.fleet.record.write("machine", self.name, "starts")

    async def stop(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record.write("machine", self.name, "gets", number.name)
            if number == signal.SIGKILL:
                await self.process.wait()

    async def probe(self):
        """The platform's questions: two misses take the machine out."""
        misses = 0
        while True:
            status = await http_call(self.ip, READY_PORT, "GET", "/-/ready", timeout=0.8)
            misses = 0 if status and status[0] == 200 else misses + 1
            self.is_ready = misses == 0 or self.is_ready and misses < 2
            await asyncio.sleep(1)


def free_net():
    """A loopback network in which the ports of all machines are free."""
    ports = [INSTANCE_PORT, CONTROL_PORT, PLATFORM_PORT, FRONT_PORT, READY_PORT] + list(range(PORT_RANGE[0], PORT_RANGE[0] + 3))
    for _ in range(50):
        net = "127.%d.%d" % (random.randrange(16, 250), random.randrange(1, 250))
        try:
            for host in range(1, 41):
                for port in ports:
                    with socket.socket() as it:
                        it.bind(("%s.%d" % (net, host), port))
            return net
        except OSError:
            continue
    raise CannotRun("no loopback network is free")


class Fleet:
    """A small deployment: controls, entries, services, platform, operator."""

    def __init__(self, folder, seed=1, entries=6, services=3, sync_replicas=0, lag_s=0.06, max_connections=23, policies=("primary", "bounded_staleness", "read_your_writes")):
        self.random = random.Random(seed)
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="stepledge-review-")
        self.net = free_net()
        self.ips = ("%s.%d" % (self.net, it) for it in itertools.count(1))
        self.max_connections, self.sync_replicas, self.lag_s = max_connections, sync_replicas, lag_s
        self.asked, self.signatures = {}, itertools.count(1)
        self.platform = Platform(self, next(self.ips))
        self.controls, self.entries, self.groups, self.databases = [], [], {}, {}
        self.version = 0
        self.tenants = None
        self.runs = []
        self.tasks = []
        for i, zone in enumerate(ZONES):
            self.controls.append(Machine(self, "control", zone, next(self.ips), 1))
        for i in range(entries):
            self.entries.append(Machine(self, "entry", ZONES[i % 3], next(self.ips), 1 + i // 3))
        self.service_names = ["kiln%02x" % (it + 10) for it in range(services)]
        for name in self.service_names:
            for policy in policies:
                self.databases["db-%s-%s" % (name, policy[0])] = (name, policy)

    def signature(self):
        return "%x.%08x" % (next(self.signatures), self.random.getrandbits(32))

    def ran(self, instance, request, text, who):
        if request != "-":
            self.runs.append((self.record.now(), request, who))
            self.record.write("ran", instance.id, "for", who, request, text)

    def control_order(self, zone):
        ips = [it.ip for it in self.controls]
        self.random.shuffle(ips)
        return ips

    def any_entry(self):
        ready = [it for it in self.entries if it.is_ready] or self.entries
        return self.random.choice(ready)

    def configuration(self):
        routes = [{"name": "r-" + database, "hostname": database, "path_prefix": "/", "type": policy, "timeout_ms": 2000 if policy == "bounded_staleness" else 800,
                   "target_latency_ms": 250, "priority": 1, "service": service, "max_attempts": 2,
                   **({} if policy == "primary" else {"max_staleness_ms": 1500 if policy == "bounded_staleness" else 2500})}
                  for database, (service, policy) in sorted(self.databases.items())]
        services = [{"name": it, "health_path": "/health", "max_connections": self.max_connections, "protocol": "h1", "tls": False, "sync_replicas": self.sync_replicas}
                    for it in self.service_names]
        tenants = {} if self.tenants is None else {"tenants": [{"name": name, "api_keys": keys} for name, keys in sorted(self.tenants.items())]}
        return {"version": self.version, "routes": routes, "services": services, **tenants,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000}}

    async def send_configuration(self, for_s=8.0):
        """The operator: sends the next version until it is acknowledged."""
        self.version += 1
        body = json.dumps(self.configuration()).encode()
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            for ip in self.control_order(None):
                status = await http_call(ip, CONTROL_PORT, "POST", "/-/Config.Replace", body)
                self.record.write("operator: version", self.version, "to", ip, "->", status and status[0])
                if status and status[0] == 200:
                    return True
            await asyncio.sleep(0.2)
        return False

    async def add_instance(self, group, zone, role, log=()):
        it = Instance(self, group, zone, next(self.ips), role, log)
        group.instances.append(it)
        await it.start()
        return it

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/platform/stepledge isn't built")
        await self.platform.up()
        for it in self.controls + self.entries:
            await it.start(True)
        for it in self.entries:
            self.tasks.append(asyncio.create_task(it.probe()))
        await asyncio.sleep(1)
        for name in self.service_names:
            self.groups[name] = Group(self, name, self.lag_s, self.sync_replicas)
        if not await self.send_configuration():
            raise CannotRun("the first configuration wasn't acknowledged")
        for name, group in self.groups.items():
            for i, zone in enumerate(ZONES):
                await self.add_instance(group, zone, "primary" if i == 0 else "replica")
        await asyncio.sleep(3)
        if not all(it.is_ready for it in self.entries):
            raise CannotRun("an entry isn't ready")

    async def wipe_control(self, down_s):
        """A machine of the core loses power and its disk."""
        it = self.controls[0]
        await it.stop(signal.SIGKILL)
        shutil.rmtree(os.path.join(it.folder, "data"), ignore_errors=True)
        await asyncio.sleep(down_s)
        await it.start()

    async def kill_all(self, down_s):
        machines = self.controls + self.entries
        for it in machines:
            await it.stop(signal.SIGKILL)
        await asyncio.sleep(down_s)
        for it in machines:
            await it.start()

    async def close(self):
        for it in self.tasks:
            it.cancel()
        for it in self.controls + self.entries:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(folder, case, limit_s=115, fleet_class=None, **options):
    """Runs \\p case(fleet, is_trouble); its True means that the rule was broken."""
    is_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # NOTE: whoever ends this program ends what it has started, too.
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        try:
            fleet = (fleet_class or Fleet)(folder, seed=int(os.environ.get("SEED", "1")), **options)
        except (CannotRun, OSError) as e:
            print("couldn't run:", repr(e))
            return 2
        try:
            await fleet.start()
            is_broken = await asyncio.wait_for(case(fleet, is_trouble), limit_s - fleet.record.now())
            fleet.record.write("verdict: the rule", "was broken" if is_broken else "held")
            print("the rule was broken" if is_broken else "the rule held")
            return 1 if is_broken else 0
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as e:
            fleet.record.write("verdict: couldn't run:", repr(e))
            print("couldn't run:", repr(e))
            return 2
        finally:
            await fleet.close()

    sys.exit(asyncio.run(main()))
