"""Small stand-ins for the users' platform: its metadata store and backend servers.

They speak the published protocol on loopback addresses and have switches for the
faults that the tests need. One process runs them all, on threads.
"""

import base64
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class Server(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, handler):
        super().__init__(("127.0.0.1", 0), handler)
        self.connections = []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server_port

    def get_request(self):
        connection, address = super().get_request()
        self.connections.append(connection)
        return connection, address

    def end(self):
        """Closes the address and all connections, as a crash does."""
        self.shutdown()
        self.server_close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed before

    def handle_error(self, request, client_address):
        pass  # callers that break off are part of the tests


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store_era = None  # set where the store answers

    def log_message(self, *_args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        if self.store_era is not None:
            self.send_header("Store-Era", str(self.store_era))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Door:
    """One address of the store. `fault` is None, "busy", "silent" or "drop". Answers
    about a table in `late_s` come so many seconds after they are made."""

    def __init__(self, store):
        self.fault = None
        self.late_s = {}
        self.waits_since = {}  # table -> when the last call for its changes came
        door = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.serve(self, door, store.get)

            def do_POST(self):
                store.serve(self, door, store.transact)

        self.http = Server(StoreHandler)

    @property
    def address(self):
        return self.http.address


class Store:
    """Rows in tables. Each instance has its own door, so that some can be turned
    away; `fault` of the store counts for all."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}  # (table, key) -> (value, version)
        self.changes = []  # (version, table, key, value or None)
        self.version = 0
        self.oldest = 0  # changes up to here are forgotten
        self.era = 1  # rises with each restore()
        self.fault = None
        self.refuse_writes = False
        self.lose_answers = 0  # this many writes are done and not answered
        self.calls = 0
        self.feed_calls = []  # (time, table) of waiting calls for changes

    def serve(self, handler, door, action):
        self.calls += 1
        url = urlparse(handler.path)
        if url.path == "/-/rows-feed":
            door.waits_since[parse_qs(url.query)["table"][0]] = time.monotonic()
        handler.store_era = self.era
        fault = self.fault or door.fault
        if fault == "busy":
            handler.body()
            return handler.answer(503)
        if fault == "silent":
            time.sleep(30)
            return None
        if fault == "drop":
            handler.close_connection = True
            return None
        answer = action(handler, door)
        return answer

    def put(self, table, key, value):
        """Writes as the operator or a server does."""
        with self.lock:
            self.version += 1
            self._write(table, key, json.dumps(value).encode())

    def put_bytes(self, table, key, value):
        with self.lock:
            self.version += 1
            self._write(table, key, value)

    def remove(self, table, key):
        with self.lock:
            self.version += 1
            self.rows.pop((table, key), None)
            self.changes.append((self.version, table, key, None))
            self.lock.notify_all()

    def read(self, table, key):
        with self.lock:
            row = self.rows.get((table, key))
        return None if row is None else json.loads(row[0])

    def forget_history(self):
        with self.lock:
            self.oldest = self.version
            self.changes = []

    def copy(self):
        """A copy of the store as it is, for restore()."""
        with self.lock:
            return dict(self.rows), list(self.changes), self.version

    def restore(self, copy):
        """Comes back from `copy`: what was written since is gone."""
        with self.lock:
            self.rows, self.changes, self.version = (
                dict(copy[0]), list(copy[1]), copy[2])
            self.era += 1
            self.lock.notify_all()

    def _write(self, table, key, value):
        self.rows[(table, key)] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        self.lock.notify_all()

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _reply(self, handler, status, version=None, **fields):
        fields.update(ver=self.version if version is None else version,
                      nowS=time.monotonic())
        handler.store_era = self.era
        handler.answer(status, json.dumps(fields).encode(),
                       [("Content-Type", "application/json")])

    def transact(self, handler, _door):
        call = json.loads(handler.body())
        if self.refuse_writes:
            return handler.answer(503)
        with self.lock:
            for row in call["expected"]:
                known = self.rows.get((row["table"], row["key"]), (b"", 0))
                if known[1] != row["ver"]:
                    return self._reply(handler, 412, rows=[])
            self.version += 1
            for row in call["writes"]:
                if row["table"] in ("op", "servers"):
                    return handler.answer(403)
                self._write(row["table"], row["key"],
                            base64.b64decode(row["value"], validate=True))
            for row in call["deletes"]:
                if set(row) != {"table", "part", "key"}:
                    return handler.answer(400)
                if self.rows.pop((row["table"], row["key"]), None):
                    self.changes.append(
                        (self.version, row["table"], row["key"], None))
                    self.lock.notify_all()
            lost = self.lose_answers > 0
            self.lose_answers -= 1 if lost else 0
        if lost:
            handler.close_connection = True
            return None
        return self._reply(handler, 200)

    def get(self, handler, door):
        url = urlparse(handler.path)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, keep_blank_values=True).items()}
        table = query["table"]
        if url.path == "/-/rows-get":
            with self.lock:
                rows = [self._row(t, k, *self.rows[(t, k)])
                        for t, k in sorted(self.rows) if t == table]
                # The version that is told belongs to these rows.
                return self._reply(handler, 200, rows=rows, hasMore=False)
        after = int(query["after"])
        self.feed_calls.append((time.monotonic(), table))
        until = time.monotonic() + int(query["waitMs"]) / 1000
        with self.lock:
            while True:
                if after < self.oldest or after > self.version:
                    return self._reply(handler, 410)
                rows = [self._row(t, k, value, version)
                        for version, t, k, value in self.changes
                        if t == table and version > after]
                left = until - time.monotonic()
                if door.fault == "silent":
                    break
                if rows or left <= 0 or self.fault or door.fault:
                    break
                self.lock.wait(min(left, 0.2))
            version = self.version
        time.sleep(30 if door.fault == "silent" else door.late_s.get(table, 0))
        if door.fault == "silent":
            return None
        return self._reply(handler, 200, version, rows=rows)


class Backend:
    """A backend server that registers itself in `store`.

    `fault` is None or one of "shed", "grey" (each second request is refused, though
    it tells that its slots are free), "error", "truncate", "late" (the answer to
    the request before comes first), "silent" and "unsigned". `leaving`, unless
    None, is what each of its answers tells in Server-Leaving. With `quiet` it turns
    all requests away, with this text in Retry-After. Its row says that it is cold
    for another `warmup_left_s`.
    """

    def __init__(self, store, name, service, domain="a", slots=6, keyed=False,
                 warmup_left_s=0):
        self.store, self.name, self.service = store, name, service
        self.domain, self.slots, self.keyed = domain, slots, keyed
        self.fault = None
        self.leaving = None
        self.quiet = None
        self.work_s = 0.0
        self.warmup_left_s = warmup_left_s
        self.asked = 0
        self.asked_at = []  # when each of these requests came
        self.misdirected = 0  # requests that were meant for another server
        self.ran = []  # (method, path, body, request id)
        self.closed_early = 0  # callers that left while it worked
        self.holds = {}  # (from, to) -> (fence, until)
        self.fences = []  # (first key, last key, fencing token) of all grants
        self.orders = []
        self.order_times = []  # when each of `orders` came
        self.born = int(time.time() * 1000)
        self.reports = 0
        self.lock = threading.Lock()
        backend = self

        class BackendHandler(Handler):
            def run(self):
                backend.serve(self)

            do_GET = do_POST = do_PUT = do_DELETE = run

        self.http = Server(BackendHandler)
        self.register()

    def register(self, state="ready"):
        self.reports += 1
        self.store.put("servers", self.name, {
            "address": self.http.address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.domain, "capacity": self.slots},
            "status": {"state": state, "seq": self.reports,
                       "warmupLeftS": self.warmup_left_s}})

    def leave(self):
        self.store.remove("servers", self.name)

    def stop(self):
        self.http.end()

    def holds_key(self, key):
        now = time.monotonic()
        return any(first <= key <= last and until > now
                   for (first, last), (_, until) in self.holds.items())

    def serve(self, handler):
        body = handler.body()
        request_id = handler.headers.get("Request-Id", "")
        echo = [("Request-Id", request_id)] if request_id else []
        target = handler.headers.get("Target-Instance")
        if target is not None and target != self.name:
            self.misdirected += not handler.path.startswith("/-/")
            return handler.answer(421,
                                  headers=echo + [("Instance-Id", self.name)])
        if handler.path == "/-/grant":
            return self.grant(handler, json.loads(body))
        if handler.path == "/-/release":
            return self.release(handler, json.loads(body))
        with self.lock:
            key = handler.headers.get("Shard-Key")
            if self.keyed and not self.holds_key(int(key)):
                return handler.answer(
                    421, headers=echo + [("Not-Executed", "1")])
        if self.leaving is not None:
            echo.append(("Server-Leaving", self.leaving))
        self.asked += 1
        self.asked_at.append(time.monotonic())
        if self.fault == "grey" and self.asked % 2 == 1:
            return handler.answer(
                503, headers=echo + [("Not-Executed", "1"),
                                     ("Server-Load", "0,0,%d" % self.slots)])
        if self.quiet is not None:
            return handler.answer(503, headers=echo + [("Not-Executed", "1"),
                                                       ("Retry-After", self.quiet)])
        if self.fault == "shed":
            return handler.answer(503, headers=echo + [("Not-Executed", "1")])
        self.ran.append((handler.command, handler.path, body, request_id))
        time.sleep(self.work_s)
        if self.fault == "silent":
            time.sleep(20)
            return None
        if self.fault == "error":
            return handler.answer(500, b"failed", echo)
        text = ("%s ran %s" % (self.name, handler.path)).encode()
        signed = echo + [("Response-Signature", "s." + request_id),
                         ("Server-Load", "1,0,%d" % self.slots)]
        if self.fault == "truncate":
            handler.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n"
                                b"Response-Signature: x\r\n\r\nhalf")
            handler.close_connection = True
            return None
        if self.fault == "late":
            handler.answer(200, b"of another request",
                           [("Request-Id", "another"),
                            ("Response-Signature", "x")])
        return handler.answer(200, text, echo if self.fault == "unsigned" else signed)

    @property
    def highest(self):
        """The highest fencing token on any key."""
        return max((fence for _, _, fence in self.fences), default=0)

    def grant(self, handler, order):
        with self.lock:
            self.orders.append(("grant", order))
            self.order_times.append(time.monotonic())
            span = (order["from"], order["to"])
            seen = (fence for first, last, fence in self.fences
                    if first <= span[1] and last >= span[0])
            if order["fence"] < max(seen, default=0):
                return handler.answer(409)
            self.fences.append((*span, order["fence"]))
            for first, last in list(self.holds):
                if first >= span[0] and last <= span[1]:
                    del self.holds[(first, last)]
            self.holds[span] = (order["fence"],
                                time.monotonic() + order["holdS"])
        return handler.answer(200)

    def release(self, handler, order):
        with self.lock:
            self.orders.append(("release", order))
            self.order_times.append(time.monotonic())
            low, high = order["from"], order["to"]
            for (first, last), hold in list(self.holds.items()):
                if first > high or last < low:
                    continue
                del self.holds[(first, last)]
                if first < low:
                    self.holds[(first, low - 1)] = hold
                if last > high:
                    self.holds[(high + 1, last)] = hold
        return handler.answer(200, headers=[("Handover", "h1")])


def route(name, host, prefix, service, safe=True, **more):
    spec = {"host": host, "prefix": prefix, "timeoutS": 2, "sloS": 0.5,
            "kind": "safe" if safe else "unsafe", "attempts": 2, "priority": 1}
    if isinstance(service, str):
        spec["service"] = service
    else:
        spec["backends"] = service
    spec.update(more)
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, keyed=False, **more):
    spec = {"healthPath": "/healthz", "maxConns": 100, "protocol": "h1",
            "tls": False}
    if keyed:
        spec.update(sharded=True, warmS=1.0, grants="rpc")
    spec.update(more)
    return {"type": "services", "metadata": {"name": name}, "spec": spec}


def configuration(version, resources):
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 65536,
              "headerTimeoutS": 3, "idleTimeoutS": 15}
    return {"version": version, "baseVersion": 0, "resources": resources + [
        {"type": "limits", "metadata": {}, "spec": limits}]}
