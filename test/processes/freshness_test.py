#!/usr/bin/env python3
"""Servers that leave while instances hear of it late or through others.

Whatever is known of another table, or of another instance's path to the store, a
server gets no request later than the platform's 2 s after the store has accepted that
it leaves. Usage: freshness_test.py BUILD_DIR [unittest args]
"""
import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_world import World, use_build  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0  # of a store without faults, before the bound counts


class Callers:
    """Calls each of `nodes` about every 30 ms until the end of the block."""

    def __init__(self, nodes, **request):
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(node, request))
                        for node in nodes]
        self.statuses = []

    def _run(self, node, request):
        number = 0
        while not self.stopped.wait(0.03):
            number += 1
            try:
                status, _, _ = node.call(
                    request_id="%s-%d" % (node.name, number), **request)
                self.statuses.append(status)
            except OSError:
                self.statuses.append(None)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_exception):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


class Freshness(World):
    def assert_none_late(self, server, told_at):
        late = [at - told_at for at in server.asked_at if at > told_at + DRAIN_S]
        self.assertEqual(late, [], "requests after the store had accepted it")


class SilentStore(Freshness):
    # Failure: after a silence of the store the call for changes of the servers hangs
    # on, and answers about the configuration pass for news of the servers.
    def test_a_server_that_drains_after_a_silence_gets_nothing_late(self):
        with Callers(self.nodes, method="POST", path="/book/x", body=b"1") as callers:
            time.sleep(1)
            for node in self.nodes:
                node.door.fault = "silent"
            self.await_hanging_calls()
            for node in self.nodes:
                node.door.fault = None
            time.sleep(STABLE_S + 0.05)
            self.plain[0].register("draining")
            told_at = time.monotonic()
            time.sleep(DRAIN_S + 2)
        self.assert_none_late(self.plain[0], told_at)
        self.assertGreater(callers.statuses.count(200), 50)

    def await_hanging_calls(self):
        """Until all instances wait for changes of the servers and have just given up
        a call for the configuration; 8 s if they never do."""
        begun = time.monotonic()
        while time.monotonic() < begun + 8:
            now = time.monotonic()
            waits = [(node.door.waits_since.get("op", 0),
                      node.door.waits_since.get("servers", 0)) for node in self.nodes]
            if now > begun + STABLE_S and all(
                    servers > op and now - op > 2.22 for op, servers in waits):
                return
            time.sleep(0.005)


class LateNews(Freshness):
    # Failure: the time of the answer about the configuration passes for the time up to
    # which the servers were known, and an owner that drains gets requests too long.
    def test_an_owner_of_which_news_come_late_gets_nothing_late(self):
        self.owned()
        leader = self.store.read("chervilmux-leases", "keyed#1")["holder"]
        other = next(node for node in self.nodes if node.name != leader)
        frozen = next(node for node in self.nodes if node.name == leader)
        owner = next(server for server in self.keyed if server.holds_key(100))
        other.door.late_s["servers"] = 1.0
        with Callers([other], path="/keyed/k", key=100) as callers:
            time.sleep(3)
            frozen.process.send_signal(signal.SIGSTOP)
            owner.register("draining")
            told_at = time.monotonic()
            time.sleep(DRAIN_S + 1)
        frozen.process.send_signal(signal.SIGCONT)
        self.assertGreater(max(owner.asked_at), told_at)
        self.assert_none_late(owner, told_at)
        self.assertGreater(callers.statuses.count(200), 50)


class LoneInstance(Freshness):
    nodes_wanted = 3

    # Failure: the trouble of one instance that cannot reach the store makes others,
    # which hear it well, keep servers in use that have left without a report.
    def test_servers_that_leave_while_one_instance_lacks_the_store_get_nothing_late(self):
        lone, *others = self.nodes
        with Callers(others, method="POST", path="/book/x", body=b"1") as callers:
            time.sleep(1)
            lone.door.fault = "drop"
            time.sleep(1.5)
            for server in self.plain[:2]:
                server.leave()
            told_at = time.monotonic()
            time.sleep(DRAIN_S + 1.5)
        for server in self.plain[:2]:
            self.assertGreater(max(server.asked_at), told_at - 1)
            self.assert_none_late(server, told_at)
        self.assertGreater(callers.statuses.count(200), 50)


if __name__ == "__main__":
    use_build(sys.argv.pop(1))
    unittest.main()
