"""Callers that keep their connections until the process is gone."""
import random
import select
import socket
import threading
import time
import traceback
import zlib

from checks import Request
from world import HOST

PATIENCE_S = 12.0  # beyond its deadline a request must have been answered by then
# prefix, method, safe, keyed, services, permanent
ROUTES = (("/plain/", "GET", True, False, ("plain",), True),
          ("/book/", "POST", False, False, ("plain",), True),
          ("/mixed/", "GET", True, False, ("plain", "other"), True),
          ("/keyed/", "GET", True, True, ("keyed",), True),
          ("/hold/", "POST", False, True, ("keyed",), True),
          ("/extra", "GET", True, False, ("other",), False))
SAFE = tuple(route for route in ROUTES if route[2])
UNSAFE = tuple(route for route in ROUTES if not route[2])


class Ended(Exception):
    """The connection ended before the answer was whole."""


class Connection:
    def __init__(self, instance):
        self.name = instance.name
        self.plug = socket.create_connection((instance.ip, 8641), timeout=PATIENCE_S)
        self.file = self.plug.makefile("rb")

    def close(self):
        self.file.close()
        self.plug.close()

    def has_unasked_bytes(self):
        look = select.poll()
        look.register(self.plug, select.POLLIN)
        return bool(look.poll(0) and
                    self.plug.recv(20, socket.MSG_PEEK).startswith(b"HTTP/1.1 2"))

    def _line(self):
        line = self.file.readline(70000)
        if not line.endswith(b"\n"):
            raise Ended
        return line.strip()

    def _bytes(self, size):
        data = self.file.read(size)
        if len(data) < size:
            raise Ended
        return data

    def answer(self, patience_s):
        """The next answer: status, headers, body. ValueError: no answer at all."""
        self.plug.settimeout(patience_s)
        version, status = self._line().split()[:2]
        if version != b"HTTP/1.1":
            raise ValueError(version)
        headers = {}
        while line := self._line():
            name, value = line.decode("latin-1").split(":", 1)
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while size := int(self._line(), 16):
                body += self._bytes(size)
                self._line()
            self._line()
        elif "content-length" in headers:
            body = self._bytes(int(headers["content-length"]))
        else:
            body = self.file.read()
        return int(status), headers, body


class Caller(threading.Thread):
    def __init__(self, world, ledger, seed, number, stop):
        super().__init__(daemon=True)
        self.world, self.ledger, self.number, self.stop = world, ledger, number, stop
        self.rng = random.Random("caller %d %d" % (seed, number))
        self.made = 0
        self.home = number  # the instance that it asks first
        self.connection = None
        self.turn = (self.keep, self.keep, self.fresh, self.ahead)[number % 4]

    def run(self):
        while not self.stop.is_set():
            try:
                self.turn()
            except OSError:  # no connection: the instance is down
                self.drop()
                self.home += 1
            except Exception:
                self.ledger.break_rule("SOAK", traceback.format_exc())
                raise
            time.sleep(self.rng.uniform(0.005, 0.08))
        self.drop()

    def draw(self, routes):
        prefix, method, safe, keyed, services, permanent = self.rng.choice(
            routes + UNSAFE if routes is ROUTES else routes)
        self.made += 1
        if not permanent:
            prefix += "%d/" % self.rng.randrange(3)
        body = b"" if method == "GET" else self.rng.randbytes(
            self.rng.choice((0, 5, 3000)))
        request = Request("c%d-%d" % (self.number, self.made), "", method,
                          "%sx%%20y?n=%d" % (prefix, self.made), body, safe, keyed,
                          services, self.rng.choice((500, 1500, 4000)), permanent)
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
            method, request.path, HOST, request.id, request.deadline_ms)
        if keyed:  # half of them on few keys
            head += "Shard-Key: %d\r\n" % self.rng.choice(
                (self.rng.randrange(65536), 20000 + self.rng.randrange(40)))
        if body and self.rng.random() < 0.3:
            head += "Transfer-Encoding: chunked\r\n\r\n"
            return request, head.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        if method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        return request, head.encode() + b"\r\n" + body

    def connect(self):
        if self.connection is None:
            instances = self.world.instances
            self.connection = Connection(instances[self.home % len(instances)])

    def drop(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def exchange(self, drawn, whims=True):
        """Sends all of `drawn` at once and reads the answers in order. Returns
        their statuses."""
        self.connect()
        if self.connection.has_unasked_bytes():
            self.ledger.break_rule("MIXED", "a success with no request waiting")
        for request, _ in drawn:
            request.node = self.connection.name
            self.ledger.ask(request)
        whole = b"".join(raw for _, raw in drawn)
        leaves = whims and self.rng.random() < 0.02
        slow = whims and self.rng.random() < 0.05
        cut = self.rng.randrange(len(whole)) if slow else 0
        waiting = [request for request, _ in drawn]
        statuses = []
        try:
            self.connection.plug.sendall(whole[:cut])
            time.sleep(0.1 if slow else 0)
            self.connection.plug.sendall(whole[cut:])
            while waiting and not leaves:
                request = waiting[0]
                status, headers, body = self.connection.answer(
                    request.deadline_ms / 1000 + PATIENCE_S)
                statuses.append(status)
                waiting.pop(0)
                self.ledger.answer(request, status, headers, body,
                                   "%08x" % zlib.crc32(body))
                leaves = headers.get("connection", "").lower() == "close"
        except TimeoutError:
            self.ledger.unanswered(waiting[0])
            leaves = True
        except (OSError, Ended):
            for request in waiting:
                self.ledger.lost(request, behind=request is not waiting[0])
            leaves = True
        except ValueError as error:
            self.ledger.break_rule("MIXED", "no answer: %s" % error, waiting[0])
            leaves = True
        if leaves:
            self.drop()
        return statuses

    def keep(self):
        """One connection, as long as it lasts; idle at times, below the limit."""
        self.exchange([self.draw(ROUTES)])
        if self.rng.random() < 0.02:
            time.sleep(self.rng.uniform(0.5, 3.5))

    def fresh(self):
        self.home += 1
        self.exchange([self.draw(ROUTES)])
        self.drop()

    def ahead(self):
        """Further safe requests before the first one is answered."""
        self.exchange([self.draw(SAFE) for _ in range(self.rng.randint(1, 5))])
