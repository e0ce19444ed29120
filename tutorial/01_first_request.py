#!/usr/bin/env python3
"""Lesson 1: start a small fleet, ask for a key, and see who owns it and why.

Run from the repository's root, after `make build`:

    python3 tutorial/01_first_request.py
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tools"))
from fleet import Fleet, ask, service  # noqa: E402

with Fleet("build") as fleet:
    # A stand-in for the platform, and a manifest with one service of three
    # servers in one failure domain.
    fleet.start_platform()
    manifest = {"revision": 1,
                "services": [service(fleet, "rozpis", ["kolin"], 3, 6)]}
    fleet.start_backends(manifest)

    # Three equal entry instances. Any of them takes any request.
    entries = fleet.start_entries(["kolin"], 3)
    fleet.publish(manifest)
    fleet.wait_serving(manifest, entries)

    for entry in entries:
        answer = ask(entry, "GET", "/rozpis/skola-1")
        print(f"{entry.name}: {answer.status} {answer.outcome} "
              f"by {answer.server}, epoch {answer.epoch}")

    # The same server each time: it owns the key. This is why:
    print(fleet.command("explain", entries[0], "rozpis", "skola-1"))
