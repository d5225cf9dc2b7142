"""Stand-ins for one small deployment: the platform's store, database members, clients, gateways.

They follow PROTOCOL.md as far as the cases need it. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import ctypes
import functools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, PEER, STORE, MEMBER = 8784, 8785, 7440, 8783, 8620
HEARTBEAT_S = 1.2
LIMIT_S = 110.0
ZONES = ("muc-nord", "nbg", "rgb")
SERVICES = ("wendedb-a", "wendedb-b", "wendedb-c")


def find_prefix():
    """Return the first three bytes of loopback addresses that nobody uses."""
    for _ in range(100):
        prefix = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.1", STORE))
                return prefix
            except OSError:
                continue
    raise RuntimeError("no free loopback address")


def end_with_parent():
    """Let the kernel end a new process with the one that started it, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self._file.close()


class Store:
    """Metadata store and promotion call of the platform, over HTTP."""

    def __init__(self, record):
        self.record = record
        self.items, self.events, self.rev = {}, deque(maxlen=20000), 5
        self.leases, self.next_lease = {}, 100
        self.beats = {}
        self.on_promotion = None  # returns a status
        self._changed = asyncio.Event()

    async def start(self, hosts):
        """Listen on an address for each gateway, so that single ones can be turned away."""
        self.hosts, self.turned_away = hosts, set()
        self.last_writer = 0  # the gateway that wrote last under a condition
        self._servers = [
            await asyncio.start_server(functools.partial(self._serve, index), host, STORE) for index, host in enumerate(hosts)
        ]
        self._task = asyncio.create_task(self._expire())

    def put(self, key, value, lease=0):
        self.rev += 1
        created = self.items[key]["Created"] if key in self.items else self.rev
        self.items[key] = {
            "Key": key, "Value": base64.b64encode(value).decode(), "Rev": self.rev, "Created": created, "Lease": lease,
        }
        self._note(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._note({"Key": key, "Rev": self.rev, "Deleted": True})

    def _note(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def beat(self, member_id, fields):
        self.beats[member_id] = time.monotonic()
        self.put(f"servers/{member_id}", json.dumps(fields).encode())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [one for one, (until, _) in self.leases.items() if until <= now]:
                self._end(lease)
            for member_id in [one for one, at in self.beats.items() if now > at + 3 * HEARTBEAT_S]:
                del self.beats[member_id]
                self.remove(f"servers/{member_id}")
                self.record.write(f"store: entry of {member_id} is removed after three heartbeat intervals")

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    async def _serve(self, index, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(0.004)
                status, fields = 503, {}
                if index not in self.turned_away or target == "/promotion":
                    status, fields = await self._answer(method, target, headers, body)
                    if target == "/-/kv-txn" and status == 200 and json.loads(body).get("Expected"):
                        self.last_writer = index
                data = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
        writer.close()

    async def _answer(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        fields = json.loads(body) if body else {}
        path = parts.path
        if path == "/-/kv-key":
            item = self.items.get(query["Key"])
            return (200, item) if item else (404, {})
        if path == "/-/kv-range":
            found = [i for k, i in sorted(self.items.items()) if k.startswith(query["Prefix"]) and k > query.get("after", "")]
            return 200, {"items": found[:500], "HasMore": len(found) > 500, "AsOf": self.rev}
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._commit(fields)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(fields["TtlMs"], 1000) / 1000
            self.leases[self.next_lease] = (time.monotonic() + ttl, ttl)
            return 200, {"Lease": self.next_lease, "TtlMs": int(ttl * 1000)}
        lease = int(path.rsplit("/", 1)[1]) if path.startswith(("/-/kv-keep/", "/-/kv-lease-end/")) else 0
        if lease and lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"TtlMs": int(ttl * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self._end(lease)
            return 200, {}
        if path == "/promotion":
            self.record.write(
                f"platform: {headers['lease-holder']} orders {fields['Id']} of {fields['Service']}, token {headers['fencing-token']}"
            )
            return self.on_promotion(fields["Service"], fields["Id"]), {}
        return 404, {}

    async def _watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = [e for e in self.events if e["Rev"] > after and e["Key"].startswith(query["Prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.rev}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _commit(self, fields):
        rows = fields.get("Expected", [])
        if any(self.items.get(row["Key"], {"Rev": 0})["Rev"] != row["Rev"] for row in rows):
            return 412, {"items": [self.items[row["Key"]] for row in rows if row["Key"] in self.items]}
        if any(w.get("Lease") and w["Lease"] not in self.leases for w in fields.get("Writes", [])):
            return 404, {}
        for write in fields.get("Writes", []):
            self.put(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in fields.get("Remove", []):
            self.remove(key)
        return 200, {"Rev": self.rev}


class Member:
    """Member of a database service. `log` holds (term, number, request id, item, data)."""

    def __init__(self, world, service, group, member_id, host, zone, *, primary):
        self.world, self.id, self.host, self.zone, self.primary = world, member_id, host, zone, primary
        self.service, self.group = service, group
        self.starts = 0
        self.term, self.held, self.log = 1, 0, []
        # Reached by nobody; not running; not reached by the store, or by the other members.
        self.dark = self.down = self.cut_store = self.cut_members = False
        self.cut_callers = set()  # nodes that are partitioned from it
        self.has_log = True
        self.on_pause = lambda: None
        self.on_control = lambda caller, word: None
        self.on_run = None
        self.refuse = None
        self._seq = 0
        self._writers = set()
        self._born = int(time.time() * 1000)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, MEMBER)

    def position(self):
        if not self.has_log:
            return "-"
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{1}.0"

    def fields(self):
        self._seq += 1
        return {
            "Service": self.service, "Address": f"{self.host}:{MEMBER}", "Zone": self.zone, "Version": "1", "Capacity": 2,
            "State": "ready", "ColdMs": 0, "Seq": self._seq, "DbRole": "primary" if self.primary else "replica", "born": self._born,
        }

    def beat(self):
        if not (self.dark or self.down or self.cut_store):
            self.world.store.beat(self.id, self.fields())

    def set_dark(self, dark):
        """Be partitioned from all machines, or be reached again."""
        self.dark = dark
        if not dark:
            self._reset()

    async def crash(self, seconds, *, keeps_log=True):
        """Be down for a time, and come back under the same id; a replica may know nothing of before."""
        self.down = True
        self.starts += 1
        self._server.close()
        self._reset()
        self.held = 0
        await asyncio.sleep(seconds)
        self.down = False
        if any(one.primary and one.term > self.term for one in self.group):
            self.primary = False
        if not keeps_log:
            self.log, self.has_log, self.term = [], False, 1
        self._born = int(time.time() * 1000)
        await self.start()
        self.beat()
        for one in self.group:
            if one.primary and one is not self and one.reaches(self):
                self.world.send_log(one, self, asyncio.Event())

    def _reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def reaches(self, other):
        return not any(one.dark or one.down or one.cut_members for one in (self, other))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.world.connections.append(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            await self._session(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _session(self, reader, writer):
        word, service, caller, *rest = (await self._line(reader)).split(" ")
        await self._until_reached(caller, reader)
        if word != "CONNECT" or service != self.service or (rest and rest[0] != self.id):
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if len(self._writers) > self.world.max_connections:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return
        await asyncio.sleep(0.012)
        writer.write(f"READY I {self.position()}\r\n".encode())
        session = {"values": {}, "names": {}, "state": "I", "read": False, "writes": [], "caller": caller}
        while True:
            line = await self._line(reader)
            await self._until_reached(caller, reader)
            if line == "BYE":
                return
            _, request, text = line.split(" ", 2)
            answer = await self._execute(session, request, text)
            await self._until_reached(caller, reader)  # the answer gets nowhere
            ready = f"READY {session['state']} {self.position()}"
            writer.write("".join(f"{one}\r\n" for one in [*answer, ready]).encode())

    async def _line(self, reader):
        return (await reader.readuntil(b"\r\n")).decode("latin-1")[:-2]

    async def _until_reached(self, caller, reader):
        """Hold what a partition holds up; it is lost if the caller resets, or after 3 s."""
        since = time.monotonic()
        while self.dark or caller in self.cut_callers:
            await asyncio.sleep(0.02)
            if reader.at_eof() or reader.exception() is not None or time.monotonic() > since + 3.0:
                raise ConnectionResetError

    async def _execute(self, session, request, text):
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if not self.has_log or tuple(map(int, self.position().split("."))) < tuple(map(int, position.split("."))):
                return self._fail(session, "LAGGING")
        word, _, rest = text.partition(" ")
        if self.refuse and request != "-" and (code := self.refuse(word)):
            return [f"ERROR {code} {self.id}"]
        if word in {"STATUS", "PAUSE", "RESUME", "STEPDOWN"}:
            self.on_control(session["caller"], word)
            return self._control(word, int(rest or 0))
        if session["state"] == "E" and word != "ROLLBACK" and word != "COMMIT":
            return ["ERROR MALFORMED -"]
        if word == "RESET":
            session["values"], session["names"] = {}, {}
        elif word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
        elif word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            session["names"][name] = (access, shape)
        elif word == "CLOSE":
            session["names"].pop(rest, None)
        elif word == "BEGIN":
            session["read"] = rest == "READ"
            if not self.primary and not session["read"]:
                return self._fail(session, "READONLY")
            session["state"], session["writes"] = "T", []
        elif word == "ROLLBACK":
            session["state"], session["writes"] = "I", []
        else:
            return await self._run(session, request, word, rest)
        return ["COMPLETE -"]

    async def _run(self, session, request, word, rest):
        item, _, data = rest.partition(" ")
        if word != "READ" and not self.primary and (word != "COMMIT" or session["writes"]):
            return self._fail(session, "READONLY")
        starts = self.starts
        await asyncio.sleep(0.003)
        if starts != self.starts:
            raise ConnectionResetError  # it has crashed meanwhile
        if word != "READ" and not self.primary and (word != "COMMIT" or session["writes"]):
            return self._fail(session, "READONLY")
        if self.on_run:
            self.on_run(self, session, request, word, item)
        rows = []
        if word == "READ":
            rows = [f"ROW {self.value(item)}"]
        elif word == "WRITE":
            session["writes"].append((request, item, data))
        if word == "COMMIT" or session["state"] == "I":
            writes, session["writes"], session["state"] = session["writes"], [], "I"
            if writes:
                await self._commit(request, writes)
        return [*rows, f"COMPLETE {self.id}.{request}"]

    def value(self, item):
        return next((one[4] for one in reversed(self.log) if one[3] == item), "none")

    async def _commit(self, request, writes):
        number = self.log[-1][1] + 1 if self.log else 1
        entries = [(self.term, number, request, item, data) for _, item, data in writes]
        self.log += entries
        self.world.record.write(f"{self.id}: commits {self.term}.{number} {request}")
        self.world.commits[request] = (self, self.world.record.now())
        received = asyncio.Event()
        for peer in self.group:
            if peer is not self:
                self.world.send_log(self, peer, received)
        if self.world.synchronous:
            await received.wait()

    def receive(self, primary, length):
        """Take the log of the primary up to an entry, unless paused or not a replica of it."""
        if self.primary or self.held > primary.term or not primary.primary or self.term > primary.term:
            return False
        self.term, self.has_log = primary.term, True
        if len(self.log) < length or self.log[:length] != primary.log[:length]:
            self.log = primary.log[:length]
        return True

    def _control(self, word, term):
        if word == "PAUSE" and term > self.term:
            self.held = term
            self.on_pause()
        elif word == "RESUME":
            self.held = 0
        elif word == "STEPDOWN" and term > self.term and self.primary:
            self.primary, self.term = False, term
            self.world.record.write(f"{self.id}: steps down for term {term} at {self.position()}")
        role = "primary" if self.primary else "replica"
        return [f"ROW {role} {self.term} {self.position()} {self.held} 0 0 {len(self._writers)}", "COMPLETE -"]

    def _fail(self, session, code):
        if session["state"] == "T":
            session["state"] = "E"
        return [f"ERROR {code} {self.id}"]


class World:
    """Everything of one run: store, nine members of three services, gateways, clients.

    `members` are those of the service that the clients use; the others are idle.
    """

    def __init__(self, folder, *, synchronous=False, promote_s=1.0, max_connections=16, receive_s=(0.02, 0.6)):
        self.record = Record(Path(folder) / "record.txt")
        self.database = "kaba98a"
        self.synchronous, self.promote_s, self.max_connections, self.receive_s = synchronous, promote_s, max_connections, receive_s
        self.prefix = find_prefix()
        self.store = Store(self.record)
        self.groups, self.gateways, self.tasks, self.connections = [[], [], []], [], [], []
        self.members = self.groups[0]
        self.nodes = []
        self.rng = random.Random(1)
        self.on_promoted = lambda member: None
        self.on_ordered = lambda member: None
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._sent = {}
        self.commits = {}  # by request id, the member and when it committed
        self.sent_at = {}  # by request id, when a client sent it

    async def start(self, *, kind="primary", gateways=3):
        await self.store.start([f"{self.prefix}.{1 + index}" for index in range(gateways)])
        self.store.on_promotion = self._order
        self.store.put("op/config", json.dumps({
            "Version": 3,
            "Routes": [{"Host": database, "Service": service, "Type": kind, "MaxStalenessMs": 1500, "TimeoutMs": 800,
                        "TargetLatencyMs": 250, "Priority": 0}
                       for database, service in zip((self.database, "lepu270", "huvo11a"), SERVICES)],
            "Services": [{"Name": service, "MaxConns": self.max_connections, "SyncReplicas": int(self.synchronous)}
                         for service in SERVICES],
            "Limits": {"IdleTxMs": 3000},
        }).encode())
        for number in range(9):
            group, index = self.groups[number // 3], number % 3
            member = Member(self, SERVICES[number // 3], group, f"i-{number + 1:08x}", f"{self.prefix}.{64 + number}", ZONES[index],
                            primary=index == number // 3)
            group.append(member)
            await member.start()
            member.beat()
        self.tasks += [asyncio.create_task(self._beat()), asyncio.create_task(self._catch_up())]
        for index in range(gateways):
            self._start_gateway(index)
        end = time.monotonic() + 30
        while not all([await self._is_ready(host) for host, _ in self.gateways]):
            if time.monotonic() > end:
                raise RuntimeError("the gateways did not become ready")
            await asyncio.sleep(0.1)
        self.record.write("all gateways are ready")

    def _start_gateway(self, index):
        host = f"{self.prefix}.{10 + index}"
        path = self._temporary / f"node-{index}.toml"
        zone, name = ZONES[index % 3], f"front-{ZONES[index % 3]}-{1 + index // 3}"
        self.nodes.append(name)
        path.write_text(f'''Node = "{name}"
Role = "gateway"
Class = "front"
Serves = ["front"]
Ip = "{host}"
Zone = "{zone}"
Region = "bayern"
PeerPorts = [{PEER},{PEER + 15}]
HeartbeatMs = 1200
[Listen]
Front = "{host}:{FRONT}"
Ready = "{host}:{READY}"
[Limits]
MemoryMb = 300
MaxFds = 4300
[Bounds]
DrainMs = 7000
GraceS = 6
[platform]
Address = "{self.store.hosts[index]}:{STORE}"
form = "kv"
[Cloud]
Address = "{self.store.hosts[index]}:{STORE}"
''')
        output = (self._temporary / f"node-{index}.log").open("wb")
        process = subprocess.Popen(
            ["python3", "-S", "deploy/start.py"], cwd=ROOT, stdout=output, stderr=output,
            preexec_fn=end_with_parent,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8", "PYTHONPATH": str(ROOT / "target/deps"), "BURDOCKRUN_SETTINGS": str(path)},
        )
        self.gateways.append((host, process))

    async def _is_ready(self, host):
        try:
            reader, writer = await asyncio.open_connection(host, READY)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            head = await reader.readline()
            writer.close()
            return b" 200 " in head
        except OSError:
            return False

    async def _beat(self):
        while True:
            for member in sum(self.groups, []):
                member.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _catch_up(self):
        """Let replicas get what they have not received, and former primaries follow a new one."""
        seen = {}
        while True:
            await asyncio.sleep(0.1)
            for group in self.groups:
                primary = max((one for one in group if one.primary), key=lambda one: one.term, default=None)
                if primary is not None:
                    self._follow(primary, group, seen)

    def _follow(self, primary, group, seen):
        for member in group:
            if member is primary or not primary.reaches(member):
                seen.pop(member.id, None)
                continue
            if member.primary and member.term < primary.term:
                # The old primary continues until a second after it can reach the new one.
                if time.monotonic() - seen.setdefault(member.id, time.monotonic()) < 1.0:
                    continue
                member.primary = False
                self.record.write(f"{member.id}: follows {primary.id} and rolls back what that one lacks")
            if len(member.log) != len(primary.log):
                self.send_log(primary, member, asyncio.Event())

    def send_log(self, primary, peer, received):
        """Let a replica receive the log as it is now, after its delay and in order."""
        length, loop = len(primary.log), asyncio.get_running_loop()
        mean, spread = self.receive_s
        at = max(loop.time() + self.rng.lognormvariate(0, spread) * mean, self._sent.get(peer.id, 0.0))
        self._sent[peer.id] = at
        if not primary.reaches(peer):
            return

        def arrive():
            if primary.reaches(peer) and peer.receive(primary, length):
                received.set()

        loop.call_at(at, arrive)

    def _order(self, service, member_id):
        member = next((one for one in sum(self.groups, []) if one.id == member_id), None)
        if member is None or member.down:
            return 409
        if member.primary and member.term == max(one.term for one in member.group):
            return 200
        self.on_ordered(member)
        asyncio.get_running_loop().call_later(self.promote_s, self._promote, member)
        return 200

    def _promote(self, member):
        newest = max(one.term for one in member.group)
        if member.primary and member.term == newest:
            return
        if member.down:
            self.record.write(f"platform: the order for {member.id} has no effect: it is not running")
            return
        member.primary, member.term, member.held = True, newest + 1, 0
        self.record.write(f"platform: {member.id} leads term {member.term} at {member.position()}")
        member.beat()
        self.on_promoted(member)

    def read_logs(self):
        return "".join(path.read_text(errors="replace") for path in sorted(self._temporary.glob("*.log")))

    def stop(self):
        """End what was started, and keep the log lines of the gateways about primaries."""
        for _, process in self.gateways:
            process.kill()
            process.wait()
        for line in self.read_logs().splitlines():
            if any(name in line for name in ("primary_", "lease_basis", "commits_may", "duty_", "setup_refused")):
                self.record.write(f"log: {line}")
        self.record.close()
        shutil.rmtree(self._temporary, ignore_errors=True)


class Client:
    """Client of one gateway, which sends one statement at a time."""

    def __init__(self, world, host, name):
        self.world, self.host, self.name = world, host, name
        self._reader = self._writer = None
        self._count = 0

    async def connect(self):
        self.close()
        self._reader, self._writer = await asyncio.open_connection(self.host, FRONT)
        self._writer.write(f"CONNECT {self.world.database} {self.name}\r\n".encode())
        async with asyncio.timeout(2.0):
            line = await self._reader.readuntil(b"\r\n")
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())

    async def ask(self, text):
        """Return id, time of sending, and the lines of the answer; an empty list without one."""
        self._count += 1
        request = f"{self.name}-{self._count:05d}"
        sent = self.world.record.now()
        try:
            if self._writer is None:
                await self.connect()
            sent = self.world.sent_at[request] = self.world.record.now()
            self.world.record.write(f"{self.name}: sends {request} {text}")
            self._writer.write(f"QUERY {request} {text}\r\n".encode())
            lines: list[str] = []
            async with asyncio.timeout(3.0):
                while not lines or not lines[-1].startswith("READY"):
                    lines.append((await self._reader.readuntil(b"\r\n")).decode()[:-2])
        except (OSError, ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            self.world.record.write(f"{self.name}: {request} has no answer")
            return request, sent, []
        self.world.record.write(f"{self.name}: {request} is answered {' / '.join(lines)}")
        if not lines[-1].startswith("READY I"):
            self.close()
        return request, sent, lines

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._writer = None


def run(main):
    """Run a case; the status is 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def end():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                status = await main(os.environ.get("TROUBLE", "1") != "0")
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            print(f"the case could not run: {error!r}")
            status = 2
        sys.stdout.flush()
        os._exit(status)  # connections of the stand-ins may still be open

    asyncio.run(end())
