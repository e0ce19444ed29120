"""Planned stops of chervilmux-node.

Guards against requests that arrive late in the grace of a stop and are cut off
when it ends: they were sent to a server with all the time of their route, and the
process closed their connections without an answer.
"""
import json
import os
import random
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_world import HOST, Node, World, eventually, use_build  # noqa: E402
from prepared_platform import Store, configuration, route, service  # noqa: E402

GRACE_S = 6.0
SEED = 20261205


class Caller:
    """One connection that sends a request in parts and reads its answer."""

    def __init__(self, node, method, path, request_id, key=None, body=b"1234567890"):
        self.id = request_id
        self.method = method
        self.status = None  # 0: the connection ended without a whole answer
        self.text = b""
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
                 "Request-Id: " + request_id, "Deadline-Ms: 60000",
                 "Content-Length: %d" % len(body)]
        if key is not None:
            lines.append("Shard-Key: %d" % key)
        self.bytes = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self.socket = socket.create_connection((node.ip, 8641), timeout=30)

    def send(self, part=None):
        """Sends the first `part` bytes or, without it, all that are left."""
        part = len(self.bytes) if part is None else part
        self.socket.sendall(self.bytes[:part])
        self.bytes = self.bytes[part:]

    def read(self):
        """Reads to the end of the connection."""
        try:
            while chunk := self.socket.recv(4096):
                self.text += chunk
        except OSError:
            pass  # a reset ends the answer as well
        self.socket.close()
        head, _, body = self.text.partition(b"\r\n\r\n")
        fields = head.lower().split(b"\r\n")
        lengths = [int(line.split(b":")[1]) for line in fields
                   if line.startswith(b"content-length:")]
        whole = bool(lengths) and len(body) >= lengths[0]
        self.status = int(fields[0].split()[1]) if whole else 0
        return self.status

    def says_when_to_come_back(self):
        return b"retry-after:" in self.text.lower()


class LateInTheGrace(World):
    """Requests of all kinds while servers need 0.2 to 3 times the grace."""
    nodes_wanted = 1

    def setUp(self):
        super().setUp()
        slow = {"timeoutS": 30, "sloS": 1}
        self.store.put("op", "config", configuration(4, [
            route("r1", HOST, "/plain/", "plain", **slow),
            route("r2", HOST, "/book/", "plain", safe=False, **slow),
            route("r3", HOST, "/keyed/", "keyed", **slow),
            service("plain"), service("keyed", keyed=True)]))
        self.owned()
        eventually(lambda: any(line["event"] == "configuration_in_force" and
                               line["version"] == "4"
                               for line in self.nodes[0].log()), "in force")
        self.rng = random.Random(SEED)
        print("seed", SEED)

    def ran(self, request_id):
        return sum(run[3] == request_id
                   for server in self.plain + self.keyed for run in server.ran)

    def callers(self, work_s, prefix):
        for server in self.plain + self.keyed:
            server.work_s = work_s
        kinds = [("GET", "/plain/x", None), ("POST", "/book/x", None),
                 ("GET", "/keyed/x", 100)]
        return [Caller(self.nodes[0], method, path, "%s-%d" % (prefix, i), key)
                for i, (method, path, key) in enumerate(kinds)]

    def stop(self):
        self.nodes[0].process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()
        eventually(lambda: not self.nodes[0].ready(), "not ready any more")

    def at(self, seconds):
        """Waits until so long after the stop signal."""
        time.sleep(max(0, self.stopped_at + seconds - time.monotonic()))

    def check_ends(self, callers):
        """Whole answers, or truthful refusals; returns the counts by status."""
        counts = {}
        for caller in callers:
            status = caller.read()
            counts[status] = counts.get(status, 0) + 1
            with self.subTest(caller.id):
                self.assertIn(status, (200, 408, 502, 503, 504), caller.text)
                if status in (408, 503):
                    self.assertEqual(self.ran(caller.id), 0)
                if status == 503:
                    self.assertTrue(caller.says_when_to_come_back(), caller.text)
                if caller.method == "POST":
                    self.assertLessEqual(self.ran(caller.id), 1)
        self.assertEqual(self.nodes[0].process.wait(), 0)
        self.assertLess(time.monotonic() - self.stopped_at, GRACE_S)
        return counts

    def test_requests_that_arrive_slowly_are_not_cut_off_without_an_answer(self):
        for times in (0.2, 3):
            with self.subTest("servers need %s of the grace" % times):
                self.restart()
                callers = self.callers(times * GRACE_S, "slow-%s" % times)
                self.stop()
                self.at(2.0)
                for caller in callers:
                    caller.send(self.rng.randint(30, 60))
                self.at(4.6)
                for caller in callers:
                    caller.send()
                counts = self.check_ends(callers)
                # None can finish, so that none is sent.
                self.assertEqual(counts, {503: len(callers)})

    def test_requests_that_a_server_does_not_end_get_a_last_answer(self):
        callers = self.callers(3 * GRACE_S, "long")
        for caller in callers:
            caller.send()
        eventually(lambda: all(self.ran(caller.id) for caller in callers),
                   "they run")
        self.stop()
        counts = self.check_ends(callers)
        self.assertEqual(counts, {504: len(callers)})

    def test_requests_at_the_start_of_the_grace_end_whole(self):
        callers = self.callers(0.2 * GRACE_S, "early")
        self.stop()
        for caller in callers:
            caller.send()
        self.assertEqual(self.check_ends(callers), {200: len(callers)})

    def test_requests_sent_ahead_are_answered_or_left_unread(self):
        caller = self.callers(0.3 * GRACE_S, "ahead")[0]
        second = caller.bytes.replace(b"ahead-0", b"ahead-9")
        caller.send()
        caller.socket.sendall(second)
        self.stop()
        caller.read()
        self.assertTrue(caller.text.startswith(b"HTTP/1.1 200"), caller.text)
        self.assertEqual(caller.text.count(b"HTTP/1.1 200"),
                         self.ran("ahead-0") + self.ran("ahead-9"))

    def test_a_request_that_never_arrives_whole_does_not_hold_the_exit(self):
        caller = self.callers(0, "half")[1]
        self.stop()
        self.at(2.0)
        caller.send(60)
        done = threading.Event()

        def drip():
            while not done.wait(0.3):
                try:
                    caller.socket.sendall(b"x" if caller.bytes[:1] == b"x" else b"")
                except OSError:
                    return

        thread = threading.Thread(target=drip)
        thread.start()
        counts = self.check_ends([caller])
        done.set()
        thread.join()
        self.assertIn(caller.status, (408, 503), counts)
        self.assertEqual(self.ran(caller.id), 0)

    def test_a_second_signal_and_a_shorter_grace_change_nothing(self):
        callers = self.callers(0.5 * GRACE_S, "twice")
        for caller in callers:
            caller.send()
        eventually(lambda: all(self.ran(caller.id) for caller in callers),
                   "they run")
        self.stop()
        with open(self.nodes[0].path, encoding="utf-8") as file:
            settings = file.read()
        with open(self.nodes[0].path, "w", encoding="utf-8") as file:
            file.write(settings.replace("graceS = 6", "graceS = 1"))
        for again in (signal.SIGHUP, signal.SIGTERM):
            self.nodes[0].process.send_signal(again)
        self.assertEqual(self.check_ends(callers), {200: len(callers)})

    def test_a_stop_while_the_store_is_away_keeps_the_same_promises(self):
        self.store.fault = "silent"
        callers = self.callers(3 * GRACE_S, "away")
        for caller in callers[:2]:
            caller.send()
        eventually(lambda: all(self.ran(caller.id) for caller in callers[:2]),
                   "they run")
        self.stop()
        self.at(2.0)
        callers[2].send(40)
        self.at(4.6)
        callers[2].send()
        self.assertEqual(self.check_ends(callers), {504: 2, 503: 1})

    def restart(self):
        self.nodes[0].stop(signal.SIGKILL)
        for server in self.plain + self.keyed:
            server.work_s = 0.0
        self.nodes[0].start()
        eventually(self.nodes[0].ready, "ready again")
        self.owned()


class BeforeConfiguration(unittest.TestCase):
    def test_a_stop_before_the_first_configuration_ends_whole_and_in_time(self):
        with tempfile.TemporaryDirectory() as folder:
            store = Store()
            store.fault = "busy"
            node = Node(0, store, folder).start()
            try:
                half, whole = (eventually(lambda i=i: connect(node, i), "it listens")
                               for i in ("half", "whole"))
                half.send(40)
                node.process.send_signal(signal.SIGTERM)
                stopped_at = time.monotonic()
                whole.send()
                self.assertEqual(whole.read(), 503)
                self.assertIn(half.read(), (408, 503))
                self.assertTrue(whole.says_when_to_come_back())
                self.assertEqual(node.process.wait(), 0)
                self.assertLess(time.monotonic() - stopped_at, GRACE_S)
            finally:
                node.stop(signal.SIGKILL)


def connect(node, request_id):
    try:
        return Caller(node, "POST", "/book/x", request_id)
    except OSError:
        return None


class OneAfterTheOther(World):
    """All instances stop; each stops as soon as its forerunner has handed over."""
    nodes_wanted = 3

    def events(self, node, name):
        return [line for line in node.log() if line["event"] == name]

    def test_grants_are_renewed_until_the_last_instance_ends(self):
        self.owned()
        leader = eventually(
            lambda: next((node for node in self.nodes
                          if self.events(node, "leads_owners")), None), "one leads")
        others = [node for node in self.nodes if node is not leader]
        leader.process.send_signal(signal.SIGTERM)
        eventually(lambda: self.events(leader, "leads_owners_no_more"),
                   "the first one has resigned")
        for node in others:
            node.process.send_signal(signal.SIGTERM)
        for node in self.nodes:
            self.assertEqual(node.process.wait(), 0)
        successors = [node for node in others if self.events(node, "leads_owners")]
        self.assertTrue(successors, "nobody led after the first one")

    def test_one_that_stops_alone_frees_its_lease(self):
        self.owned()
        leader = eventually(
            lambda: next((node for node in self.nodes
                          if self.events(node, "leads_owners")), None), "one leads")
        for node in self.nodes:
            if node is not leader:
                node.stop(signal.SIGKILL)
        leader.process.send_signal(signal.SIGTERM)
        self.assertEqual(leader.process.wait(), 0)
        lease = self.store.read("chervilmux-leases", "keyed#1")
        self.assertEqual(lease["holder"], "", json.dumps(lease))


if __name__ == "__main__":
    use_build(sys.argv.pop(1))
    unittest.main(verbosity=2)
