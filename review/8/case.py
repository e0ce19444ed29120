"""One of three machines is cut off from the store for 5.5 s. Meanwhile two of six
upstreams leave without a report that they drain. Do the other two machines, which are
in touch, send requests to them later than drainS after the store has removed them?"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from world import CannotRun, DRAIN_S, TROUBLE, route, run, service  # noqa: E402

CUT_S = 5.5
LEAVES_S = DRAIN_S + 1.5  # "and a little longer (at times many seconds)"


def case(world):
    upstreams = world.add_upstreams("caisse", 6, slots=6, work_s=0.3)
    for upstream in upstreams:
        upstream.start()
    world.configure(3, [service("caisse"), route("pay", "/pay/", "caisse", kind="unsafe")])
    world.start()
    world.client("pay", "/pay/x", 60, method="POST")
    time.sleep(6)
    cut_off = world.instances[0]
    begun = time.monotonic()
    if TROUBLE:
        world.record("cut-begins", cut_off.name, "and the store")
        cut_off.door.cut()
    time.sleep(1.5)
    leaving = upstreams[:2]
    for upstream in leaving:
        world.store.remove("servers", upstream.name)
        world.record("store-removes", upstream.name)
    told_at = time.monotonic()
    time.sleep(LEAVES_S)
    for upstream in leaving:
        upstream.crash()
    time.sleep(max(0.0, begun + CUT_S - time.monotonic()))
    if TROUBLE:
        cut_off.door.heal()
        world.record("cut-ends", cut_off.name)
    time.sleep(4)
    world.stop_clients.set()
    time.sleep(1.5)
    served = sum(1 for answer in world.answers if answer[3] == 200)
    if served < 100:
        raise CannotRun("only %d requests were served" % served)
    status = {answer[1]: answer[3] for answer in world.answers}
    breaches = []
    for upstream in leaving:
        for at, request_id, _ in upstream.arrivals:
            taker = world.taken_by.get(request_id)
            if at > told_at + DRAIN_S and taker is not cut_off:
                breaches.append(
                    "request %s, taken by %s, reached %s %.3f s after the store had removed "
                    "it; its client got %s" % (request_id, taker.name, upstream.name,
                                               at - told_at, status.get(request_id)))
        lost = {i: status.get(i) for i in upstream.lost
                if world.taken_by.get(i) is not cut_off}
        world.record("cut at the end of", upstream.name, lost)
    world.record("served", served, "of", world.sent)
    return breaches


sys.exit(run(case, os.path.dirname(os.path.abspath(__file__))))
