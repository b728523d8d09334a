"""Stand-ins for the platform, backend servers and clients of a small deployment.

Everything runs on loopback addresses and the real clock. The gateway processes
are the project's own program, started with the command of the deploy file and
settings that have the members of deploy/node.json.template.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join(REPOSITORY, "target", "bin", "quetzalhall-gateway")
HEARTBEAT_S = 1.2
# One /24 of the loopback range, different for each run.
SUBNET = "127.%d.%d" % (random.randint(16, 250), random.randint(1, 250))


def free_port(ip):
    """Returns a port below the ephemeral range that is free at `ip`."""
    while True:
        port = random.randint(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return port
            except OSError:
                continue


class Record:
    """The file record.txt: one line for each thing that was seen."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


class Message:
    """A parsed head with its body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the fields, or None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    body = b""
    length = int(head[1].get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return Message(head[0], head[1], body)


def reset(writer):
    """Closes a connection with a reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self):
        self.kinds = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()
        self.ip = SUBNET + ".250"
        self.port = free_port(self.ip)
        self.address = "%s:%d" % (self.ip, self.port)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def note(self, kind, item, removed):
        self.history.append((self.revision, kind, json.loads(json.dumps(item)), removed))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, kind, name, spec=None, status=None, finalizers=None):
        items = self.kinds.setdefault(kind, {})
        item = items.get(name)
        if item is None:
            item = {"metadata": {"name": name, "revision": 0, "created": self.revision + 1,
                                 "finalizers": [], "deleting": False},
                    "spec": None, "status": None}
        before = json.dumps(item)
        if spec is not None:
            item["spec"] = spec
        if status is not None:
            item["status"] = status
        if finalizers is not None:
            item["metadata"]["finalizers"] = finalizers
        if json.dumps(item) != before or name not in items:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            items[name] = item
            self.note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self.note(kind, item, True)
        return item

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, body = await self.answer(request)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")
        options = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else None
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, items[name]) if name in items else (404, {})
        if method == "GET" and "watch" in options:
            return await self.watch(kind, int(options["watch"]), int(options.get("waitMs", "0")))
        if method == "GET":
            names = sorted(n for n in items if n > options.get("afterRev", ""))
            return 200, {"items": [items[n] for n in names], "hasMore": False,
                         "asOf": self.revision}
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        if method == "POST":
            created = metadata["name"]
            if created in items:
                return 409, items[created]
            return 200, self.put(kind, created, body.get("spec"), body.get("status"))
        if name not in items:
            return 404, {}
        wanted = metadata.get("revision", options.get("revision"))
        if wanted is not None and int(wanted) != items[name]["metadata"]["revision"]:
            return 409, items[name]
        if method == "DELETE":
            return 200, self.remove(kind, name)
        if len(parts) > 3:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, body.get("spec"), finalizers=metadata.get("finalizers"))

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"removed": removed, "object": item}
                      for revision, of, item, removed in self.history
                      if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A backend server that registers itself and runs requests in slots."""

    def __init__(self, store, record, service, zone, host, slots, queue):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.ip = "%s.%d" % (SUBNET, host)
        self.port = free_port(self.ip)
        self.address = "%s:%d" % (self.ip, self.port)
        self.slots = slots
        self.queue = queue
        self.id = ""
        self.state = "ready"
        self.extra = {}
        self.listener = None
        self.beats = None
        self.writers = set()
        self.open = 0
        self.free = None

    async def start(self):
        """Starts a new incarnation with an id of its own."""
        self.id = "i-%08x" % random.getrandbits(32)
        self.state = "ready"
        self.extra = {"born": int(time.time() * 1000)}
        self.open = 0
        self.free = asyncio.Semaphore(self.slots)
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port)
        self.register()
        self.beats = asyncio.ensure_future(self.beat())

    def register(self):
        spec = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequence": 0}
        spec.update(self.extra)
        self.store.put("servers", self.id, spec)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def crash(self):
        """Ends at once; the store drops the entry after three intervals."""
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)
        gone = self.id
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, lambda: self.store.remove("servers", gone))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def refuse(self, request, writer, status, extra=b""):
        writer.write(b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%s"
                     b"Content-Length: 0\r\n\r\n"
                     % (status, request.get("request-id").encode(), extra))

    async def handle(self, request, reader, writer):
        if request.get("expect-instance") not in ("", self.id):
            self.refuse(request, writer, 421, b"Instance-Id: %s\r\n" % self.id.encode())
            return True
        if self.open >= self.slots + self.queue:
            self.refuse(request, writer, 503)
            return True
        self.open += 1
        try:
            async with self.free:
                return await self.run(request, reader, writer)
        finally:
            self.open -= 1

    async def run(self, request, reader, writer):
        raise NotImplementedError


class Gateways:
    """The gateway processes of the deployment."""

    def __init__(self, store, zones, count, bounds=None):
        self.folder = tempfile.mkdtemp(prefix="qh-review-")
        self.store = store
        self.nodes = []
        ports = [free_port(SUBNET + ".1") for _ in range(5)]
        for i in range(count):
            ip = "%s.%d" % (SUBNET, i + 1)
            zone = zones[i % len(zones)]
            settings = {
                "node": "edge-%s-%d" % (zone, i + 1), "failure_domain": zone, "region": "r",
                "callers": "%s:%d" % (ip, ports[0]), "readiness": "%s:%d" % (ip, ports[1]),
                "locate": "%s:%d" % (ip, ports[2]), "peers": "%s:%d" % (ip, ports[3]),
                "metrics": "%s:%d" % (ip, ports[4]), "store": store.address,
                "store_reads_per_second": 2000, "link_mbps": 1500.0, "memory_mb": 390,
                "max_open_files": 6150, "first_start": True,
                "server_heartbeat_ms": int(HEARTBEAT_S * 1000),
                "locate_ttl_max_s": 5, "server_drain_ms": 2000, "config_apply_ms": 2000,
                "stop_grace_s": 8, "lease_ms": 3000, "usage_window_s": 5, "usage_due_s": 10,
                "repeat_ratio": 0.2, "repeat_extra": 58, "repeat_window_s": 10,
                "limit_window_s": 8, "limit_overage": 0.1, "limit_tolerance": 140000}
            settings.update(bounds or {})
            path = os.path.join(self.folder, "node-%d.json" % (i + 1))
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            self.nodes.append({"ip": ip, "path": path, "callers": ports[0],
                               "ready": ports[1], "process": None})

    async def start(self):
        for node in self.nodes:
            log = open(node["path"] + ".log", "w", encoding="utf-8")
            node["process"] = await asyncio.create_subprocess_exec(
                GATEWAY, "--config", node["path"], cwd=REPOSITORY,
                stdout=log, stderr=asyncio.subprocess.STDOUT)

    async def wait_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.open_connection(node["ip"], node["ready"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self):
        for node in self.nodes:
            process = node["process"]
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: status 0 if the connection ended before the head."""

    def __init__(self, status=0, fields=None, body=b"", complete=False):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.complete = complete


async def read_answer(reader):
    """Reads an answer with a length, in chunks, or up to the end."""
    head = await read_head(reader)
    if head is None:
        return Answer()
    status, fields, body = int(head[0].split(" ")[1]), head[1], b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, fields, body, False)
    return Answer(status, fields, body, True)
