"""Starts and ends the programs of a small fleet on loopback addresses.

Used by the demo, the benchmarks and the tests with separate processes. Every
process is started here and ended here, by its own id.
"""
import collections
import errno
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

Entry = collections.namedtuple(
    "Entry", "name domain caller peer operator process")
Answer = collections.namedtuple(
    "Answer", "status outcome kind server epoch request_id body seconds")

LOOPBACK = "127.0.0.1"


# Below the ports that the system gives to outgoing connections, so that none
# of these takes an address before its server has opened it.
FIRST_PORT, LAST_PORT = 10000, 30000
next_port = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)


def free_port():
    """A port that is free for both TCP and UDP. None is given out twice: the
    server that was promised it may not have opened it yet."""
    global next_port
    while True:
        port = next_port
        next_port = port + 1 if port < LAST_PORT else FIRST_PORT
        with socket.socket() as tcp, \
                socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


def host_and_port(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def connect(address):
    return socket.create_connection(host_and_port(address), timeout=10)


def http_call(address, method, path, body=None, headers=None, timeout=10):
    """One request on a connection of its own: (status, headers, body)."""
    connection = http.client.HTTPConnection(*host_and_port(address),
                                            timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def exchange_bytes(address, data):
    """Sends `data` as it is and returns all that comes back. A server may refuse
    before it has read everything, and close: its answer counts all the same."""
    received = b""
    with connect(address) as sock:
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
        except (BrokenPipeError, ConnectionResetError):
            pass  # closed by the server; what it sent can still be read
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                raise
        try:
            while chunk := sock.recv(65536):
                received += chunk
        except ConnectionResetError:
            pass  # the end of what it sent
    return received


def ask(entry, method, path, body=None, headers=None, timeout=15):
    """A caller's request through `entry`."""
    begin = time.monotonic()
    try:
        status, head, content = http_call(
            entry.caller, method, path, body, headers, timeout)
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, "none", type(error).__name__, "", "", "", b"",
                      time.monotonic() - begin)
    return Answer(status, head.get("X-Outcome", ""),
                  head.get("X-Error-Kind", ""), head.get("X-Served-By", ""),
                  head.get("X-Ownership-Epoch", ""),
                  head.get("X-Request-Id", ""), content,
                  time.monotonic() - begin)


class Fleet:
    """Context manager: ends whatever it started."""

    def __init__(self, build, log_level="warn"):
        self.bin = os.path.join(os.path.abspath(build), "bin")
        self.log_level = log_level
        self.platform = None
        self.platform_process = None
        self.backends = {}
        self.addresses = {}
        self.entries = {}
        self.incarnations = {}
        self.processes = []

    def __enter__(self):
        # A terminated script must still end what it started.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    @staticmethod
    def pause(seconds):
        time.sleep(seconds)

    def start(self, program, *flags):
        process = subprocess.Popen([os.path.join(self.bin, program), *flags])
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self.platform or f"{LOOPBACK}:{free_port()}"
        self.platform_process = self.start(
            "fake-platform", f"--address={self.platform}")
        self.wait_until(lambda: self.listed() is not None, "the platform")

    def listed(self):
        try:
            return json.loads(http_call(self.platform, "GET", "/instances")[2])
        except OSError:
            return None

    def fault(self, address, mode):
        http_call(address, "POST", f"/_fault?mode={mode}")

    def address_of(self, server):
        """The address at which a backend server is or will be started."""
        if server not in self.addresses:
            self.addresses[server] = f"{LOOPBACK}:{free_port()}"
        return self.addresses[server]

    def start_backend(self, server, slots=6, service_us=1000, checks="yes"):
        self.backends[server] = self.start(
            "fake-backend", f"--address={self.address_of(server)}",
            f"--name={server}", f"--slots={slots}",
            f"--service-us={service_us}", f"--checks-tokens={checks}")

    def start_backends(self, manifest, **settings):
        for service in manifest["services"]:
            for server in service["servers"]:
                self.start_backend(server["name"], server["slots"], **settings)

    def kill_backend(self, server):
        self.backends[server].kill()
        self.backends[server].wait()

    def backend_stats(self, server):
        return json.loads(
            http_call(self.addresses[server], "GET", "/_stats")[2])

    def backend_runs(self, server):
        """Request id -> how often the server ran it."""
        return json.loads(
            http_call(self.addresses[server], "GET", "/_runs")[2])

    def enlist(self, entry, state="live"):
        body = {"incarnation": self.incarnations[entry.name],
                "failure_domain": entry.domain, "peer_address": entry.peer,
                "operator_address": entry.operator, "state": state}
        http_call(self.platform, "PUT", f"/instances/{entry.name}",
                  json.dumps(body))

    def start_entry(self, name, domain, old=None, enlist=True, **settings):
        ports = ((old.caller, old.peer, old.operator) if old else
                 tuple(f"{LOOPBACK}:{free_port()}" for _ in range(3)))
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        flags = [f"--name={name}", f"--failure-domain={domain}",
                 f"--incarnation={self.incarnations[name]}",
                 f"--caller-address={ports[0]}", f"--peer-address={ports[1]}",
                 f"--operator-address={ports[2]}",
                 f"--platform-address={self.platform}",
                 f"--log-level={self.log_level}"]
        flags += [f"--{key.replace('_', '-')}={value}"
                  for key, value in settings.items()]
        entry = Entry(name, domain, *ports,
                      self.start("chervilmux-entry", *flags))
        self.entries[name] = entry
        if enlist:
            self.enlist(entry)
        return entry

    def start_entries(self, domains, per_domain, **settings):
        return [self.start_entry(f"entry-{domain}-{i}", domain, **settings)
                for domain in domains for i in range(per_domain)]

    def kill_entry(self, entry, unlist=True):
        entry.process.kill()
        entry.process.wait()
        if unlist:
            http_call(self.platform, "DELETE", f"/instances/{entry.name}")

    def command(self, *words):
        """Runs the operators' command; an Entry among the words names the
        instance to ask."""
        flags = ["--platform-address", self.platform]
        arguments = []
        for word in words:
            if isinstance(word, Entry):
                flags += ["--operator-address", word.operator]
            else:
                arguments.append(word)
        done = subprocess.run(
            [os.path.join(self.bin, "chervilmux"), *flags, *arguments],
            capture_output=True, text=True, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"{words}: {done.stderr}")
        return done.stdout

    def publish(self, manifest):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(manifest, file, indent=2)
            file.flush()
            return self.command("publish", file.name)

    def status(self, entry):
        body = {"jsonrpc": "2.0", "id": 1, "method": "status"}
        try:
            answer = http_call(entry.operator, "POST", "/rpc",
                               json.dumps(body), timeout=3)
            return json.loads(answer[2]).get("result")
        except (OSError, ValueError, http.client.HTTPException):
            return None

    def leaders(self, entries):
        """Cell -> name of the entry that leads it, as the entries say."""
        found = {}
        for entry in entries:
            for cell in (self.status(entry) or {}).get("cells", []):
                if cell["role"] == "primary":
                    found[cell["cell"]] = entry.name
        return found

    def metric(self, entry, name):
        text = http_call(entry.operator, "GET", "/metrics")[2].decode()
        for line in text.splitlines():
            series, _, value = line.rpartition(" ")
            if series == name:
                return float(value)
        return 0.0

    def wait_until(self, condition, what, seconds=30):
        """Waits for a state, not for a time; gives up only when stuck."""
        give_up = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > give_up:
                raise RuntimeError(f"gave up waiting for {what}")
            time.sleep(0.05)

    def takes_callers(self, entry):
        with socket.socket() as probe:
            return probe.connect_ex(host_and_port(entry.caller)) == 0

    def wait_serving(self, manifest, entries):
        """Waits until every cell has a primary and a standby, and all entries
        have the manifest and take callers."""
        cells = {f"{service['name']}@{domain}"
                 for service in manifest["services"]
                 for domain in service["failure_domains"]}
        domains = {entry.domain for entry in entries}
        cells = {cell for cell in cells if cell.split("@")[1] in domains}

        def ready():
            seen = {}
            for entry in entries:
                status = self.status(entry)
                if not status:
                    return False
                if status["manifest_revision"] < manifest["revision"]:
                    return False
                if not self.takes_callers(entry):
                    return False
                for cell in status["cells"]:
                    if cell["role"] == "primary" and not cell["moving"]:
                        seen[cell["cell"]] = cell["standby"]
            return set(seen) == cells and all(seen.values())

        self.wait_until(ready, "all cells to be served")


def service(fleet, name, domains, count, slots, **extra):
    """A service of `count` servers, spread over the failure domains."""
    servers = []
    for i in range(count):
        server = f"{name}-{i}"
        servers.append({"name": server,
                        "failure_domain": domains[i % len(domains)],
                        "address": fleet.address_of(server), "slots": slots,
                        "connections": 130 if slots == 6 else 45})
    return {"name": name, "aliases": [], "failure_domains": domains,
            "shards": 96, "servers": servers, **extra}


def two_users(fleet):
    """A manifest with the services of both users, two servers a cell."""
    domains = ["kolin", "kutna-hora", "caslav"]
    services = [service(fleet, name, domains, 6, 6)
                for name in ("rozpis", "obsazeni", "dochazka", "nahrady")]
    services += [service(fleet, name, domains, 6, 3)
                 for name in ("suivi", "caisse", "archives", "ramassage")]
    return {"revision": 1, "services": services}
