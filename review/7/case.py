"""The store is silent for some seconds. 3 s after its return an upstream reports
that it drains. Do requests reach it later than drainS after the store's answer?"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from world import (CannotRun, DRAIN_S, STABLE_S, TROUBLE, route, run,  # noqa: E402
                   service)

LONGEST_S = 8.0  # of the store's silence, as in the site file
SHORTEST_S = 3.0
CALL_S = 2.2  # an instance's call for the configuration waits no longer
LEAVES_S = DRAIN_S + 0.8  # "and a little longer (at times many seconds)"


def calls_only_for_servers(door, now):
    """The instance waits for news of upstreams, and is between two calls for the
    configuration."""
    asked = door.waiting.get("op", 0)
    return now - asked > CALL_S + 0.02 and door.waiting.get("servers", 0) > asked


def case(world):
    upstreams = world.add_upstreams("caisse", 6, slots=6, work_s=0.3)
    for upstream in upstreams:
        upstream.start()
    world.configure(3, [service("caisse"), route("pay", "/pay/", "caisse", kind="unsafe")])
    world.start()
    world.client("pay", "/pay/x", 80, method="POST")
    time.sleep(5)
    if TROUBLE:
        world.record("store-silent-begins")
        begun = time.monotonic()
        world.store.silent = True
        while time.monotonic() - begun < LONGEST_S:
            now = time.monotonic()
            if now - begun > SHORTEST_S and all(
                    calls_only_for_servers(door, now) for door in world.store.doors):
                break
            time.sleep(0.005)
        world.store.silent = False
        world.record("store-silent-ends after %.2f s" % (time.monotonic() - begun))
    time.sleep(STABLE_S + 0.05)
    leaving = upstreams[0]
    leaving.register("draining")
    told_at = time.monotonic()
    time.sleep(LEAVES_S)
    leaving.crash()  # it ends by itself, whatever still runs
    world.store.remove("servers", leaving.name)
    time.sleep(4)
    world.stop_clients.set()
    time.sleep(1.5)
    served = sum(1 for answer in world.answers if answer[3] == 200)
    if served < 100:
        raise CannotRun("only %d requests were served" % served)
    late = [(at - told_at, request_id) for at, request_id, _ in leaving.arrivals
            if at > told_at + DRAIN_S]
    lost = {answer[1]: answer[3] for answer in world.answers if answer[1] in leaving.lost}
    world.record("served", served, "of", world.sent)
    world.record("requests cut at the end of", leaving.name, lost)
    breaches = ["request %s reached %s %.3f s after the store had accepted that it drains; "
                "its client got %s" % (
                    request_id, leaving.name, after,
                    next((a[3] for a in world.answers if a[1] == request_id), None))
                for after, request_id in late]
    return breaches


sys.exit(run(case, os.path.dirname(os.path.abspath(__file__))))
