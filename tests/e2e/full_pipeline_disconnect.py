#!/usr/bin/env python3
"""Checks with real processes that nothing starts for HTTP clients that filled their pipeline and left.

Usage: full_pipeline_disconnect.py HERONWELL_PROGRAM [REQUESTS_PER_CLIENT]
Each client pipelines loads, more than listen.pipeline (16) by default, and closes its connection. In every second
round the router is stopped for 1.5 s meanwhile. The engines record each statement that they read.
Exit code: 0 nothing started more than 0.15 s after its client had closed, 1 something did.
"""
import glob
import json
import signal
import socket
import subprocess
import sys
import tempfile
import time

ENGINES, ROUNDS, CLIENTS, STATEMENT_BYTES = 3, 8, 24, 20_000
STALL_SECONDS, MAX_LATE_SECONDS = 1.5, 0.15
CONFIG = """gateway: {{name: gw-0, number: 0, of: 1, threads: 1}}
listen: {{port: {port}}}
list: {{file: {folder}/list.yaml}}
kinds: {{k: {{cores: 32, memory: 8GiB}}}}
classes:
  plan-load: {{aim: 4s, give_up: 10s, effect: unsafe}}
"""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def start_engines(program, folder):
    processes, entries = [], "engines:\n"
    for number in range(ENGINES):
        port = free_port()
        command = [program, "engine", "--name", f"e{number}", "--port", str(port), "--cores", "32",
                   "--record", f"{folder}/record-{number}"]
        processes.append(subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL,
                                          stderr=subprocess.DEVNULL))
        entries += f"  - {{name: e{number}, host: 127.0.0.1, port: {port}, kind: k}}\n"
    with open(f"{folder}/list.yaml", "w") as file:
        file.write(entries)
    return processes


def start_router(program, folder, port):
    with open(f"{folder}/router.yaml", "w") as file:
        file.write(CONFIG.format(port=port, folder=folder))
    router = subprocess.Popen([program, "serve", "--config", f"{folder}/router.yaml"], stdout=subprocess.PIPE,
                              stderr=subprocess.DEVNULL)
    router.stdout.readline()  # it listens
    return router


def load(request_id):
    statement = f"load x /*hw id={request_id} work_ms=50*/ '" + "x" * STATEMENT_BYTES + "'"
    body = json.dumps({"statement": statement, "class": "plan-load"}).encode()
    return b"POST /v1/query HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def send_and_leave(client, request_ids):
    """Returns whether all bytes were written before the connection was closed."""
    client.settimeout(2)
    try:
        client.sendall(b"".join(load(request_id) for request_id in request_ids))
    except OSError:
        return False
    finally:
        client.close()
    return True


def play(router, port, requests_per_client):
    """Returns the time at which the client of each request had closed, in ns, by request id."""
    closed_at = {}
    for number in range(ROUNDS):
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(CLIENTS)]
        time.sleep(0.3)
        if number % 2 == 0:
            router.send_signal(signal.SIGSTOP)
        gone = []
        for index, client in enumerate(clients):
            ids = [f"q{number}-{index}-{request}" for request in range(requests_per_client)]
            if send_and_leave(client, ids):
                gone += ids
        now = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        closed_at.update((request_id, now) for request_id in gone)
        if number % 2 == 0:
            time.sleep(STALL_SECONDS)
            router.send_signal(signal.SIGCONT)
        time.sleep(2.5)
    return closed_at


def late_starts(folder, closed_at):
    """Returns how long after the close of its client each load began that began too late, in seconds."""
    late = []
    for path in glob.glob(f"{folder}/record-*"):
        for line in open(path):
            event = json.loads(line)
            if event["e"] == "read" and event["id"] in closed_at:
                late.append(event["t"] / 1e9 - closed_at[event["id"]] / 1e9)
    return [seconds for seconds in late if seconds > MAX_LATE_SECONDS]


def main():
    program = sys.argv[1]
    requests_per_client = int(sys.argv[2]) if len(sys.argv) > 2 else 24
    folder, port = tempfile.mkdtemp(), free_port()
    engines = start_engines(program, folder)
    router = start_router(program, folder, port)
    try:
        closed_at = play(router, port, requests_per_client)
    finally:
        router.send_signal(signal.SIGTERM)
        router.wait(10)
        for engine in engines:
            engine.kill()
    late = late_starts(folder, closed_at)
    print(f"{len(closed_at)} loads whose client closed, {len(late)} began too late, the latest {max(late, default=0):.3f} s")
    return 1 if late else 0


sys.exit(main())
