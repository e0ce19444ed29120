"""Small stand-ins for the review's scripts: the platform's store, upstreams in
processes of their own, clients on plain sockets, and the start of the system's
program with the command of the deploy file. They speak what PROTOCOL.md says.
"""
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "hulo84.example"
HEARTBEAT_S = 0.87
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    pass


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, a line each, in record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def note(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


# The platform's store.


class Store:
    """Rows in tables, changed under conditions, with a feed of changes."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows, self.changes, self.version = {}, [], 0
        self.start = time.monotonic()
        store = self

        class StoreHandler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_args):
                pass

            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.transact(self)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # processes of the system end with open connections

        self.http = Server(("127.0.0.1", 0), StoreHandler)
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.http.server_port

    def put(self, table, key, value):
        """Writes as the operator or an upstream does."""
        with self.lock:
            self.version += 1
            self._write(table, key, json.dumps(value).encode())

    def remove(self, table, key):
        with self.lock:
            if self.rows.pop((table, key), None) is not None:
                self.version += 1
                self.changes.append((self.version, table, key, None))
                self.lock.notify_all()

    def _write(self, table, key, value):
        self.rows[(table, key)] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        self.lock.notify_all()

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return dict(row, removed=True)
        return dict(row, value=base64.b64encode(value).decode())

    def _reply(self, handler, status, **fields):
        fields.update(ver=self.version, nowS=time.monotonic() - self.start)
        body = json.dumps(fields).encode()
        handler.send_response_only(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def transact(self, handler):
        length = int(handler.headers.get("Content-Length") or 0)
        call = json.loads(handler.rfile.read(length))
        with self.lock:
            changed = call["writes"] + call["deletes"]
            if any(row["table"] in ("op", "servers") for row in changed):
                return self._reply(handler, 403)
            known = {}
            for row in call["expected"]:
                where = (row["table"], row["key"])
                known[where] = self.rows.get(where, (None, 0))
            if any(known[row["table"], row["key"]][1] != row["ver"]
                   for row in call["expected"]):
                rows = [self._row(*where, *found) for where, found in known.items()
                        if found[1]]
                return self._reply(handler, 412, rows=rows)
            self.version += 1
            for row in call["writes"]:
                self._write(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["deletes"]:
                if self.rows.pop((row["table"], row["key"]), None):
                    self.changes.append((self.version, row["table"], row["key"], None))
            self.lock.notify_all()
            return self._reply(handler, 200)

    def get(self, handler):
        url = urlparse(handler.path)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, keep_blank_values=True).items()}
        table = query["table"]
        if url.path == "/-/rows-get":
            low, limit = query.get("from", ""), int(query.get("limit", 500))
            with self.lock:
                found = [self._row(t, k, *self.rows[t, k])
                         for t, k in sorted(self.rows) if t == table and k >= low]
                return self._reply(handler, 200, rows=found[:limit],
                                   hasMore=len(found) > limit)
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        with self.lock:
            while True:
                rows = [self._row(t, k, value, version)
                        for version, t, k, value in self.changes
                        if t == table and version > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return self._reply(handler, 200, rows=rows)
                self.lock.wait(left)


# The operator.


def route(name, prefix, service, kind, timeout_s, slo_s, attempts=2):
    return {"type": "routes", "metadata": {"name": name},
            "spec": {"host": HOST, "prefix": prefix, "kind": kind,
                     "timeoutS": timeout_s, "sloS": slo_s, "priority": 1,
                     "service": service, "attempts": attempts}}


def configuration(version, routes, services):
    """`services`: name to whether it is divided by key."""
    resources = list(routes)
    for name, sharded in services.items():
        spec = {"healthPath": "/healthz", "maxConns": 130, "protocol": "h1",
                "tls": False}
        if sharded:
            spec.update(sharded=True, warmS=5.0, grants="rpc")
        resources.append({"type": "services", "metadata": {"name": name},
                          "spec": spec})
    # The limits of the two small deployments, as `fleetbench wire` prints them.
    resources.append({"type": "limits", "metadata": {}, "spec": {
        "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
        "idleTimeoutS": 15}})
    return {"version": version, "baseVersion": 0, "resources": resources}


# Upstreams: each a process of its own, so that it can be killed.


class Upstream:
    """Started by the script; the class of the case's module serves in the child."""

    def __init__(self, store, record, name, service, script, zone="praha-a",
                 slots=6, more=(), joins=True):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.slots = service, zone, slots
        self.born, self.reports = int(time.time() * 1000), 0
        self.lines, self.asked = [], threading.Condition()
        self.process = subprocess.Popen(
            [sys.executable, "-u", script, "upstream", name, *more],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline())
        threading.Thread(target=self.read, daemon=True).start()
        if joins:
            self.join()

    def join(self):
        """Registers itself in the store, and goes on to."""
        threading.Thread(target=self.beat, daemon=True).start()

    def read(self):
        for line in self.process.stdout:
            self.record.note("%s %s" % (self.name, line.rstrip()))
            with self.asked:
                self.lines.append(line.split())
                self.asked.notify_all()

    def beat(self):
        """Its entry in the store, which goes after three silent heartbeats."""
        while self.process.poll() is None:
            self.reports += 1
            self.store.put("servers", self.name, {
                "address": "127.0.0.1:%d" % self.port, "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "capacity": self.slots},
                "status": {"state": "ready", "seq": self.reports,
                           "warmupLeftS": 0}})
            time.sleep(HEARTBEAT_S)
        time.sleep(2 * HEARTBEAT_S)
        self.store.remove("servers", self.name)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def tell(*words):
    """A line from the child to the script, whole also beside other threads."""
    os.write(sys.stdout.fileno(), (" ".join(str(word) for word in words) + "\n").encode())


def serve_as_child(handle, watch_input=True):
    """The child's side: accepts connections, one thread each, until killed or
    until its parent has gone (unless the case watches its input itself)."""
    server = socket.create_server(("127.0.0.1", 0), backlog=256)
    tell(server.getsockname()[1])

    def end_with_parent():
        sys.stdin.read()
        os._exit(0)

    def guarded(plug):
        try:
            handle(plug)
        except OSError:
            pass  # the other side broke off
        finally:
            plug.close()

    if watch_input:
        threading.Thread(target=end_with_parent, daemon=True).start()
    while True:
        plug, _ = server.accept()
        plug.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=guarded, args=(plug,), daemon=True).start()


class Head:
    """Start line and headers of a message."""

    def __init__(self, raw):
        self.raw = raw
        first, *lines = raw.decode("latin-1").split("\r\n")
        self.first = first.split(" ", 2)
        self.fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            self.fields[name.strip().lower()] = value.strip()

    def __getitem__(self, name):
        return self.fields.get(name, "")


class Stream:
    """Reads messages from a socket."""

    def __init__(self, plug):
        self.plug, self.rest = plug, b""

    def head(self):
        """None when the connection ended before one."""
        while b"\r\n\r\n" not in self.rest:
            data = self.plug.recv(65536)
            if not data:
                return None
            self.rest += data
        raw, _, self.rest = self.rest.partition(b"\r\n\r\n")
        return Head(raw)

    def body(self, size):
        """Nothing when the connection ended before it was whole."""
        parts, left = [], size
        while left > 0:
            data = self.rest[:left]
            self.rest = self.rest[len(data):]
            if not data:
                data = self.plug.recv(min(left, 1 << 20))
            if not data:
                return None
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    def skip(self, size):
        """Reads a body and throws it away; whether it was whole."""
        left = size - min(size, len(self.rest))
        self.rest = self.rest[size - left:]
        while left > 0:
            data = self.plug.recv(min(left, 1 << 20))
            if not data:
                return False
            left -= len(data)
        return True


# The system's program.


class Node:
    """One machine: the program of the deploy file on a loopback address."""

    MEMORY_MB = 260

    def __init__(self, store, record, folder, number, ips, zone="praha-a"):
        self.record, self.ip, self.name = record, ips[number], "edge-%d" % (number + 1)
        self.path = os.path.join(folder, self.name + ".toml")
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None
        seeds = ["%s:8649" % ip for ip in ips[:3]]
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join([
                'nodeName = "%s"' % self.name, 'role = "node"', 'class = "edge"',
                'serves = ["edge","control"]', 'ip = "%s"' % self.ip,
                'zone = "%s"' % zone, 'region = "cz-central"',
                "internalPorts = [7620,7635]", "seeds = %s" % json.dumps(seeds),
                "bootstrap = true", "inTolerance = false", 'discovery = "platform"',
                'entry = "vip"', "heartbeatS = %g" % HEARTBEAT_S,
                'contracts = ["base","drain","config","cost","retry","recover",'
                '"own","platform"]', 'grants = "rpc"',
                "[listen]", 'front = "%s:8641"' % self.ip,
                'ready = "%s:8640"' % self.ip, 'control = "%s:8649"' % self.ip,
                "[limits]", "cpuShare = 0.2", "cores = 1",
                "memoryMb = %d" % self.MEMORY_MB, "maxFds = 4100",
                "linkMbps = 1000.0", "diskMb = 0",
                "[faultTolerance]", "machines = 1", "zones = 1", "regions = 0",
                "[bounds]", "stableWindowS = 3", "drainS = 2", "graceS = 6",
                "lostS = 0.2", "configS = 2", "retryRatio = 0.2",
                "budgetWindowS = 10", "retrySlack = 64", "recoverS = 15",
                "holdMaxS = 10", "thawS = 0.3",
                "[provider]", 'address = "%s"' % store.address, 'form = "table"',
                "writesPerS = 400", "readsPerS = 2000", "txS = 0.006",
                "partWritesS = 200", "rowBytes = 65536", "across = false", ""]))

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split()
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CouldNotRun("no %s: build the deploy file first" % command[0])
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CHERVILMUX_BOOT"] = self.path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment,
                                            stdout=log, stderr=log)
        self.record.note("%s started" % self.name)
        return self

    def ready(self):
        try:
            with socket.create_connection((self.ip, 8640), timeout=1) as plug:
                plug.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                return plug.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def await_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while not self.ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CouldNotRun("%s does not get ready" % self.name)
            time.sleep(0.05)

    def memory_bytes(self):
        """What the process has in memory now; 0 when it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def free_ips(count):
    """Loopback addresses on which no program of the system listens."""
    found = []
    for last in range(20, 250):
        ip = "127.0.8.%d" % last
        try:
            for port in (8640, 8641, 8649, 9464):
                with socket.socket() as plug:
                    plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    plug.bind((ip, port))
        except OSError:
            continue
        found.append(ip)
        if len(found) == count:
            return found
    raise CouldNotRun("no free loopback addresses")


def run(case, folder):
    """Runs `case(record, folder for files, started)`, which returns what was
    broken; ends all that was appended to `started`."""
    record, started, status = Record(folder), [], COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory() as files:
        try:
            broken = case(record, files, started)
            for text in broken:
                record.say("BROKEN " + text)
            if not broken:
                record.say("the rule held")
            status = BROKEN if broken else HELD
        except Exception as error:  # pylint: disable=broad-except
            record.say("could not run: %s %s" % (type(error).__name__, error))
        finally:
            for process in started:
                process.kill()
    sys.exit(status)
