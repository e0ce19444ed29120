"""An upstream crashes and starts again under its id. When it writes to the store it is
cut off from the machines for 1.2 s. Do two upstreams hold the same keys?"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from world import CannotRun, TROUBLE, route, run, service  # noqa: E402

OVERLAP_S = 0.5  # the rule's "over half a second"
CUT_S = 1.2
LONGEST_S = 0.75  # from its start to what it writes; heartbeatS is 0.87


def covered(upstreams):
    """Whether each key is held by some upstream now."""
    now = time.monotonic()
    spans = sorted((s[1], s[2]) for u in upstreams for s in list(u.spans)
                   if s[0] == u.life and s[5] > now)
    free = 0
    for first, last in spans:
        if first > free:
            return False
        free = max(free, last + 1)
    return free == 65536


def held_twice(upstreams):
    """Times for which two upstreams held the same keys, the longest first."""
    found = []
    spans = [(u, *s) for u in upstreams for s in list(u.spans)]
    for i, (a, a_life, a_first, a_last, a_fence, a_begin, a_end) in enumerate(spans):
        for b, b_life, b_first, b_last, b_fence, b_begin, b_end in spans[i + 1:]:
            if a is b or a_first > b_last or b_first > a_last:
                continue
            both = min(a_end, b_end) - max(a_begin, b_begin)
            if both > OVERLAP_S:
                found.append((both, "keys %d-%d: %s (life %d, fence %d) and %s (life %d, "
                              "fence %d) hold them for %.2f s" % (
                                  max(a_first, b_first), min(a_last, b_last), a.name, a_life,
                                  a_fence, b.name, b_life, b_fence, both)))
    return [text for _, text in sorted(found, reverse=True)]


def case(world):
    upstreams = world.add_upstreams("suivi", 4, slots=3, keyed=True, work_s=0.05)
    for upstream in upstreams:
        upstream.start()
    world.configure(3, [service("suivi", keyed=True), route("status", "/status/", "suivi")])
    world.start()
    world.until(lambda: covered(upstreams), 20, "all keys are held")
    world.client("status", "/status/x", 40, keyed=True)
    time.sleep(4)

    crashed = upstreams[1]
    if TROUBLE:
        crashed.crash()
        time.sleep(0.3)
        # It writes to the store within a heartbeat of its start.
        crashed.start(register_after_s=LONGEST_S)
        begun = time.monotonic()
        while time.monotonic() - begun < LONGEST_S and all(s[0] < 2 for s in crashed.spans):
            time.sleep(0.005)
        time.sleep(0.05)
        world.record("cut-begins", crashed.name)
        crashed.listener.cut()
        time.sleep(0.02)
        crashed.register()
        time.sleep(CUT_S)
        crashed.listener.heal()
        world.record("cut-ends", crashed.name)
    time.sleep(9)
    world.stop_clients.set()
    served = sum(1 for answer in world.answers if answer[3] == 200)
    if served < 50:
        raise CannotRun("only %d requests were served" % served)
    world.record("served", served, "of", world.sent)
    return held_twice(upstreams)


sys.exit(run(case, os.path.dirname(os.path.abspath(__file__))))
