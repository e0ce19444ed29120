#!/usr/bin/env python3
"""From a failed request's id to its cause, by logs and metrics of chervilmux-node
alone. Usage: platform_explained_test.py BUILD_DIR [unittest args]
"""
import json
import os
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_world import World, eventually, program, use_build  # noqa: E402


class Explained(World):
    """Each failure is planted, then found again from logs alone, as the
    operators' page says."""

    def explain(self, request_id):
        done = subprocess.run(
            [program("chervilmux"), "trace", request_id]
            + [node.log_path for node in self.nodes],
            capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        deciding = next(line[2:] for line in done.stdout.splitlines()
                        if line.startswith("> "))
        return json.loads(deciding), done.stdout

    def test_a_booking_refused_as_not_run(self):
        for server in self.plain:
            server.fault = "shed"
        self.assertEqual(self.nodes[0].call("POST", "/book/x", b"1",
                                            request_id="e-1")[0], 503)
        line, text = self.explain("e-1")
        self.assertIn(line["kind"],
                      ("server-shed", "queue-full", "deadline-too-short"))
        self.assertIn("server-shed", text)
        self.assertIn(": not-run", text)

    def test_a_booking_whose_outcome_stayed_unknown(self):
        for server in self.plain:
            server.fault = "truncate"
        self.assertEqual(self.nodes[0].call("POST", "/book/x", b"1",
                                            request_id="e-2")[0], 502)
        line, text = self.explain("e-2")
        ran = [s.name for s in self.plain if s.ran]
        self.assertEqual([line["server"]], ran)
        self.assertIn(": unknown", text)

    def test_a_keyed_request_whose_owner_was_lost(self):
        self.owned()
        owner = next(s for s in self.keyed if s.holds_key(100))
        owner.stop()
        status = self.nodes[1].call(path="/keyed/k", key=100,
                                    request_id="e-3")[0]
        self.assertEqual(status, 503)
        line, text = self.explain("e-3")
        self.assertEqual((line["server"], line["key"]), (owner.name, "100"))
        self.assertIn("orders about the owner of key 100", text)
        self.assertIn("leads_owners", text)

        def lapse_is_told():
            self.nodes[1].call(path="/keyed/k", key=100, request_id="e-4")
            _, text = self.explain("e-4")
            return '"event":"owner_lapses"' in text
        eventually(lapse_is_told, "until when the lost owner holds its keys")

    def test_an_id_that_no_log_holds(self):
        done = subprocess.run(
            [program("chervilmux"), "trace", "e-none",
             self.nodes[0].log_path],
            capture_output=True, text=True, check=False)
        self.assertEqual((done.returncode, done.stdout), (1, ""))
        self.assertEqual(len(done.stderr.splitlines()), 1)

    def test_every_series_that_is_served_stands_on_the_operators_page(self):
        self.owned()
        self.nodes[0].call()
        path = os.path.join(os.path.dirname(__file__), "..", "..", "docs",
                            "OPERATIONS.md")
        with open(path, encoding="utf-8") as file:
            page = file.read()
        for line in self.nodes[0].get("/metrics").splitlines():
            series = line.split("{")[0].split(" ")[0]
            for ending in ("_bucket", "_max", "_sum", "_count"):
                series = series.removesuffix(ending)
            with self.subTest(series=series):
                self.assertIn(series, page)


if __name__ == "__main__":
    use_build(sys.argv.pop(1))
    unittest.main(verbosity=2)
