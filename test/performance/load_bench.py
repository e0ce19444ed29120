#!/usr/bin/env python3
"""Throughput, latency and cost of one entry and of entry + relay against the
same stand-in asked directly, in one run, as JSON; then overload against a
baseline of our own. Usage: load_bench.py BUILD_DIR
"""
import http.client
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tools"))
from fleet import Fleet, host_and_port, http_call, service  # noqa: E402

SECONDS = 4
THREADS = 8
DOMAIN = "kolin"


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def load(address, path_of, headers=None, seconds=SECONDS, threads=THREADS,
         method="GET"):
    """Closed loop over persistent connections; (answers, latencies, counts)."""
    latencies, counts, lock = [], {}, threading.Lock()
    end = time.monotonic() + seconds

    def run(number):
        connection = http.client.HTTPConnection(*host_and_port(address),
                                                timeout=20)
        own, own_counts, i = [], {}, 0
        while time.monotonic() < end:
            begin = time.monotonic()
            connection.request(method, path_of(number, i), headers=headers or {})
            response = connection.getresponse()
            response.read()
            own.append(time.monotonic() - begin)
            key = (response.status, response.headers.get("X-Error-Kind", ""))
            own_counts[key] = own_counts.get(key, 0) + 1
            i += 1
        connection.close()
        with lock:
            latencies.extend(own)
            for key, count in own_counts.items():
                counts[key] = counts.get(key, 0) + count

    workers = [threading.Thread(target=run, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    latencies.sort()
    return latencies, counts


def summary(latencies, seconds=SECONDS):
    return {"requests_per_s": round(len(latencies) / seconds),
            "p50_ms": round(1000 * latencies[len(latencies) // 2], 3),
            "p99_ms": round(1000 * latencies[len(latencies) * 99 // 100], 3)}


def paths(service_name, keys=1000):
    return lambda thread, i: f"/{service_name}/klic-{(thread * 131 + i) % keys}"


def passing(build):
    """Direct, through the primary, and through an entry that relays."""
    with Fleet(build, log_level="error") as fleet:
        fleet.start_platform()
        manifest = {"revision": 1, "services": [
            service(fleet, "rozpis", [DOMAIN], 4, 100)]}
        fleet.start_backends(manifest, service_us=1000)
        entries = fleet.start_entries([DOMAIN], 2)
        fleet.publish(manifest)
        fleet.wait_serving(manifest, entries)
        primary = fleet.entries[
            fleet.leaders(entries)[f"rozpis@{DOMAIN}"]]
        relay = next(e for e in entries if e != primary)
        direct_server = fleet.start("fake-backend",
                                    f"--address={fleet.address_of('direct')}",
                                    "--name=direct", "--slots=100",
                                    "--checks-tokens=no")
        fleet.pause(1)
        result = {"memory_idle_kb": resident_kb(primary.process)}
        token = {"X-Grant-Token": "1.1", "X-Grant-Cell": "a"}
        for entry in (primary, relay):  # warm connections and slow start
            load(entry.caller, paths("rozpis"), seconds=1)
        latencies, _ = load(fleet.addresses["direct"], paths("rozpis"), token)
        result["direct"] = summary(latencies)
        for name, entry in (("entry", primary), ("entry_and_relay", relay)):
            before = [cpu_seconds(e.process) for e in (primary, relay)]
            latencies, counts = load(entry.caller, paths("rozpis"))
            used = [cpu_seconds(e.process) - b
                    for e, b in zip((primary, relay), before)]
            result[name] = summary(latencies)
            result[name]["cpu_us_per_request"] = round(
                1e6 * sum(used) / len(latencies))
            result[name]["answers"] = {str(k): v for k, v in counts.items()}
            result[name]["added_p50_ms"] = round(
                result[name]["p50_ms"] - result["direct"]["p50_ms"], 3)
            result[name]["requests_ratio"] = round(
                result[name]["requests_per_s"]
                / result["direct"]["requests_per_s"], 3)
        load(primary.caller, paths("rozpis", 100_000), seconds=15, threads=24)
        result["memory_after_many_keys_kb"] = resident_kb(primary.process)
        del direct_server
        return result


def overload(build):
    """Goodput at multiples of capacity; the baseline is the direct stand-in,
    which sheds above its slots and whose callers try again at once."""
    slots, service_us = 3, 10_000
    capacity = slots * 1e6 / service_us
    results = []
    with Fleet(build, log_level="error") as fleet:
        fleet.start_platform()
        manifest = {"revision": 1, "services": [
            service(fleet, "caisse", [DOMAIN], 1, slots)]}
        fleet.start_backends(manifest, service_us=service_us)
        entries = fleet.start_entries([DOMAIN], 2)
        fleet.publish(manifest)
        fleet.wait_serving(manifest, entries)
        primary = fleet.entries[
            fleet.leaders(entries)[f"caisse@{DOMAIN}"]]
        load(primary.caller, paths("caisse"), seconds=2, threads=3)
        for multiple in (0.5, 1, 2, 5):
            threads = max(1, round(slots * multiple))
            latencies, counts = load(
                primary.caller, paths("caisse"), {"X-Timeout-Ms": "200"},
                threads=threads, method="POST")
            good = counts.get((200, ""), 0)
            results.append({
                "callers_over_slots": multiple,
                "goodput_over_capacity": round(good / SECONDS / capacity, 3),
                "p99_ms": summary(latencies)["p99_ms"],
                "answers": {str(k): v for k, v in counts.items()}})
        stats = fleet.backend_stats("caisse-0")
        return {"capacity_per_s": capacity, "points": results,
                "duplicates": stats["executions"] - stats["distinct"],
                "peak_at_server": stats["peak"], "slots": slots}


def idle(build):
    """Cost of control with nobody asking anything."""
    with Fleet(build, log_level="error") as fleet:
        fleet.start_platform()
        manifest = {"revision": 1, "services": [
            service(fleet, name, [DOMAIN], 4, 6) for name in
            ("rozpis", "obsazeni", "dochazka", "nahrady")]}
        fleet.start_backends(manifest)
        entries = fleet.start_entries([DOMAIN], 4)
        fleet.publish(manifest)
        fleet.wait_serving(manifest, entries)
        name = "chervilmux_control_bytes_sent_total"

        def sample():
            stats = json.loads(http_call(fleet.platform, "GET", "/_stats")[2])
            return ([cpu_seconds(e.process) for e in entries],
                    [fleet.metric(e, name) for e in entries], stats)
        before = sample()
        fleet.pause(10)
        after = sample()
        return {"entries": [
            {"cells_led": fleet.metric(e, "chervilmux_cells_led"),
             "cpu_percent": round(10 * (after[0][i] - before[0][i]), 2),
             "bytes_per_s": round((after[1][i] - before[1][i]) / 10),
             "memory_kb": resident_kb(e.process)}
            for i, e in enumerate(entries)],
            "servers_per_cell": 4,
            "store_reads_per_s": (after[2]["reads"] - before[2]["reads"]) / 10,
            "store_writes_per_s":
                (after[2]["writes"] - before[2]["writes"]) / 10}


if __name__ == "__main__":
    print(json.dumps({"passing": passing(sys.argv[1]),
                      "overload": overload(sys.argv[1]),
                      "idle": idle(sys.argv[1])}, indent=1))
