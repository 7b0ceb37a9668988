"""Stand-ins for the platform's store, backend servers and callers, and a runner of gateway processes.

Only the standard library is used. Everything listens on loopback, on free ports.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "release", "carawayseam-gateway")
LOOPBACK = "127.0.0.1"
HOST = "shop.example"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not run; nothing is known about the rule."""


def now():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(f"{now():9.3f} {text}", flush=True)


# Below the range from which the kernel takes ports for outgoing connections, so that none takes a chosen port.
PORTS = range(10_000, 20_000)
chosen_ports = set()


def free_port():
    """Returns a port that is free for TCP and UDP, and that was not returned before."""
    for _ in range(1_000):
        port = random.choice(PORTS)
        if port in chosen_ports:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
        chosen_ports.add(port)
        return port
    raise CannotRun("no port is free")


async def read_head(reader):
    """Reads the head of an HTTP message: its first line and a list of fields; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name):
    """Returns the value of the first field with a name."""
    return next((value for key, value in fields if key == name), None)


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, fields):
    """Reads the body of a request."""
    if "chunked" in (field(fields, "transfer-encoding") or ""):
        return await read_chunked(reader)
    return await reader.readexactly(int(field(fields, "content-length") or 0))


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.log = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.port = None
        self.tasks = []

    async def start(self):
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.tasks.append(asyncio.ensure_future(self.expire_leases()))

    def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease=0):
        """Writes one item; a document is written as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        self.write(key, value, lease)
        self.notify()

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.log.append((self.revision, item))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.log.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))
            self.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [lease for lease, (_, end) in self.leases.items() if time.monotonic() >= end]:
                self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                status, reply = await self.execute(line.split(" ")[0], line.split(" ")[1], body)
                text = json.dumps(reply).encode()
                writer.write(f"HTTP/1.1 {status} S\r\ncontent-type: application/json\r\n"
                             f"content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def execute(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/v1/kv-key":
            item = self.items.get(query.get("key"))
            return (200, dict(item, current_rev=self.revision)) if item else (404, {})
        if url.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"entries": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                         "current_rev": self.revision}
        if url.path == "/v1/kv-watch":
            return await self.watch(prefix, int(query["after"]), int(query.get("wait_ms", 0)))
        if url.path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if url.path.startswith("/v1/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if url.path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(url.path.rsplit("/", 1)[1]))
            return 200, {}
        if url.path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [event for revision, event in self.log
                      if revision > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, txn):
        for expected in txn.get("expect_rev", []):
            item = self.items.get(expected["key"])
            if (item["revision"] if item else 0) != expected["revision"]:
                return 412, {"entries": [item] if item else []}
        for put in txn.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        self.revision += 1
        for put in txn.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in txn.get("remove", []):
            if self.items.pop(key, None):
                self.log.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))
        self.notify()
        return 200, {"revision": self.revision}


class Engine:
    """A backend server: `answer(engine, line, fields, body, writer)` sends the response to a request.

    It serves one request at a time on a connection, and echoes the ids as PROTOCOL.md describes.
    """

    def __init__(self, engine_id, service, zone, slots, answer):
        self.id = engine_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.answer = answer
        self.born = int(time.time() * 1000)
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, port=0):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port or port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready", sequence=1):
        return {"service": self.service, "address": f"{LOOPBACK}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
                "sequence": sequence, "born": self.born}

    def crash(self):
        """Stops listening and resets all connections, as the end of the process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                expected = field(fields, "x-expect-instance")
                if expected not in (None, self.id):
                    writer.write(self.head(421, fields, ["content-length: 0", f"x-instance-id: {self.id}"]))
                else:
                    await self.answer(self, line, fields, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def head(self, status, request_fields, extra):
        lines = [f"HTTP/1.1 {status} S", f"x-request-id: {field(request_fields, 'x-request-id')}", *extra]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def seal(engine_id, body):
    """Returns the signature of a body, so that a caller can check that it has the whole of it."""
    return f"{engine_id}.{len(body)}.{hashlib.sha256(body).hexdigest()[:16]}"


BOUNDS = {"revoke_ms": 5000, "grace_s": 8, "quota_slack": 140000, "retry_ratio": 0.2, "retry_slack": 54}


class Gateway:
    """One gateway process with the settings that the deploy file's template gives."""

    def __init__(self, folder, name, zone, store):
        self.name = name
        self.folder = folder
        self.front, self.ready, self.metrics, self.peers = (free_port() for _ in range(4))
        values = {
            "node": name, "zone": zone, "ip_addr": LOOPBACK,
            "listen.front": f"{LOOPBACK}:{self.front}", "listen.ready": f"{LOOPBACK}:{self.ready}",
            "port_range.0": str(self.peers), "platform.address": f"{LOOPBACK}:{store.port}",
        }
        values.update({f"bounds.{name}": str(value) for name, value in BOUNDS.items()})
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as template:
            text = re.sub(r"\{\{([^}]*)\}\}", lambda found: values[found.group(1)], template.read())
        # All processes share one address here, so the port for metrics differs between them.
        text = text.replace(f"{LOOPBACK}:9464", f"{LOOPBACK}:{self.metrics}")
        self.settings = os.path.join(folder, f"{name}.yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None
        self.logs = os.path.join(folder, f"{name}.log")

    async def start(self):
        if not os.access(GATEWAY, os.X_OK):
            raise CannotRun("the gateway is not built")
        log = open(self.logs, "ab")
        self.process = await asyncio.create_subprocess_exec(
            GATEWAY, "--settings", self.settings, cwd=ROOT, stdout=log, stderr=log,
            env={key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ})
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, self.ready), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} is not ready within {limit_s} s")
            await asyncio.sleep(0.05)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """Ends the process for good."""
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def has_ended(self):
        return self.process is not None and self.process.returncode is not None


class Answer:
    """What a caller got: status 0 if the connection ended before a complete answer."""

    def __init__(self, status=0, fields=(), body=b""):
        self.status = status
        self.fields = list(fields)
        self.body = body


class Caller:
    """A caller that keeps its connection open."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def call(self, method, path, fields, body=b"", limit_s=5.0):
        """Sends one request and returns the answer."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, fields, body), limit_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError):
            self.close()
            return Answer()

    async def exchange(self, method, path, fields, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(LOOPBACK, self.port), 1)
        lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", *(f"{k}: {v}" for k, v in fields.items())]
        if body or method == "POST":
            lines.append(f"content-length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        line, answer_fields = head
        status = int(line.split(" ")[1])
        if "chunked" in (field(answer_fields, "transfer-encoding") or ""):
            answer_body = await read_chunked(self.reader)
        else:
            answer_body = await self.reader.readexactly(int(field(answer_fields, "content-length") or 0))
        if (field(answer_fields, "connection") or "").lower() == "close":
            self.close()
        return Answer(status, answer_fields, answer_body)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def run_case(path, case):
    """Runs `case(record, temporary folder, with_trouble, gateways)`, which returns whether the rule was broken.

    `path` is that of the record. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run,
    for whatever reason. All gateways have ended then, also if this process was asked to end.
    """
    record = Record(path)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    gateways = []

    async def run(folder):
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record, folder, with_trouble, gateways), 110)
        finally:
            for gateway in gateways:
                await gateway.stop()

    try:
        with tempfile.TemporaryDirectory(prefix="case-") as folder:
            is_broken = asyncio.run(run(folder))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as problem:
        record.say(f"the case could not run: {problem!r}")
        leave(2)
    left = [gateway.name for gateway in gateways if not gateway.has_ended()]
    record.say(f"gateways that still run: {left}")
    record.say("the rule was broken" if is_broken else "the rule held")
    leave(1 if is_broken else 0)


def leave(code):
    """Ends without the destructors of connections that were open, which need the event loop."""
    sys.stdout.flush()
    os._exit(code)
