"""Stand-ins for the parties around a node: discovery, cache servers, clients and the platform.

They use only Python's standard library and loopback addresses, and follow the operator's protocol page.
Everything that is sent, answered and run is written to the case's record.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 30.0


class CouldNotRun(Exception):
    """The case did not come to its question; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with times since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, who, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {who}: {text}\n")
        self.file.flush()


def free_port():
    """A port that is free at this moment, for the node to listen on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads an HTTP message: start line, headers by lower-case name, body. `None` at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


def http_response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Discovery:
    """Serves the list of cache servers; a watch waits for a newer version or until its wait is over."""

    MAX_WAIT_MS = 60_000

    def __init__(self, record):
        self.record, self.seq, self.hosts = record, 1, []
        self.changed_at = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def publish(self, hosts):
        """Makes this the list, as the next version."""
        async with self.changed:
            self.seq, self.hosts = self.seq + 1, hosts
            self.record.write("discovery", f"version {self.seq}: {json.dumps(hosts)}")
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                target = message[0].split(" ")[1]
                query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
                if "after" in query:
                    await self._wait(int(query["after"]), int(query.get("wait_ms", 0)))
                body = json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode()
                writer.write(http_response("200 OK", body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _wait(self, after, wait_ms):
        async with self.changed:
            newer = self.changed.wait_for(lambda: self.seq > after)
            try:
                await asyncio.wait_for(newer, min(wait_ms, self.MAX_WAIT_MS) / 1000)
            except TimeoutError:
                pass


class CacheServer:
    """A cache server that answers every request at once, or after `delay_s`."""

    def __init__(self, record, name, delay_s=0.0, zone="a"):
        self.record, self.name, self.delay_s, self.zone = record, name, delay_s, zone
        self.requests = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, health="ready"):
        return {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": self.zone, "class": "m2",
                "block": 0, "health": health, "share": 1.0, "born_ms": 0}

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                start_line, headers, body = message
                request_id = headers.get("req-id")
                self.requests.append((time.monotonic(), request_id, start_line, headers, body))
                self.record.write(self.name, f"got {start_line!r} id {request_id} body {len(body)} bytes")
                if await self.react(request_id, start_line, headers, body, writer) == "end":
                    return
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def react(self, request_id, start_line, headers, body, writer):
        """Answers a request. A case with a server in trouble replaces this."""
        await asyncio.sleep(self.delay_s)
        writer.write(http_response("200 OK", f"value of {request_id}".encode(), ["Srv-Cache: hit"]))
        await writer.drain()
        self.record.write(self.name, f"answered {request_id}")


def settings(classes, nodes=1, **limits):
    """The settings of a small deployment; its names and forms are those of the simulator's first message."""
    return {
        "az": "a", "zones": ["a"], "balancers": nodes, "position": 0, "family": "cache",
        "family_info": {"mode": "through", "origin_kind": -1}, "membership_mode": "automatic",
        "weights": "nominal", "orgs": [], "lanes": classes, "shapes": ["m2"],
        "limits": {"cancelling": True, "connect_timeout_us": 200_000, "keepalive_us": 15_000_000,
                   "max_open": 20_000, "max_retry_after_us": 2_000_000, "most_tries": 3, "probing": False,
                   "retry_after": True, "second_copies": False, "streams_per_conn": 1, **limits},
        "safety": {"ask_within_us": 10_000_000, "cold_share": 0.15, "fall_multiple": 3.0,
                   "fall_us": 1_500_000, "grace_to_answer_us": 20_000, "stop_sending_within_us": 250_000,
                   "warm_within_us": 23_000_000},
    }


def request_class(name, effect, deadline_ms, scope="all", window_ms=5000):
    return {"name": name, "effect": effect, "dedup_scope": scope, "hard_limit_us": deadline_ms * 1000,
            "promise_us": deadline_ms * 500, "repeat_window_us": window_ms * 1000, "late_value": 0.5,
            "streaming": False, "worth": 1.0}


class Node:
    """A node as the platform starts it: by `run` of the deploy file, from the root, by /bin/sh -c."""

    def __init__(self, record, discovery, node_settings, sockets, memory_mb, known):
        self.record, self.port = record, free_port()
        self.directory = tempfile.mkdtemp(prefix="walkpick-review-")
        self.config = {
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"seq": 1, "whole": True, "hosts": known}, "settings": node_settings,
        }
        self.config_path = os.path.join(self.directory, "config.json")

    def write_config(self):
        """Replaces the configuration file in one step."""
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.config_path + ".new", self.config_path)

    def start(self, log_path):
        self.write_config()
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        environment = dict(os.environ, LB_NAME="n1", LB_LISTEN=self.config["listen"],
                           LB_DISCOVERY=self.config["discovery"], LB_CONFIG=self.config_path,
                           TMPDIR=self.directory)
        self.log = open(log_path, "w", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)
        self.record.write("platform", f"node started, process {self.process.pid}, port {self.port}")

    async def wait_until_ready(self):
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CouldNotRun(f"the node exited with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer and answer[0].split(" ")[1] == "200":
                    self.record.write("platform", "the node is ready")
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("the node did not get ready")

    def signal(self, number):
        self.record.write("platform", f"signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_kb(self):
        """Resident memory now and at its peak; `None` if the process is gone."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                status = dict(line.split(":", 1) for line in file)
            return int(status["VmRSS"].split()[0]), int(status["VmHWM"].split()[0])
        except (OSError, KeyError):
            return None

    def stop(self):
        if getattr(self, "process", None) and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def request_head(request_id, kind, deadline_ms, method="GET", key="7f3a9c21e0b4d655", headers=()):
    lines = [f"{method} /api/{key} HTTP/1.1", "Host: service.internal", f"Req-Id: {request_id}",
             f"Req-Kind: {kind}", f"Req-Deadline-Ms: {deadline_ms}", *headers, "", ""]
    return "\r\n".join(lines).encode()


def run_case(record_path, case):
    """Runs `case(record, trouble)`, writes its record, and ends with the exit code that it returns."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"with the disruption: {trouble}")
    try:
        code = asyncio.run(case(record, trouble))
    except (CouldNotRun, OSError, asyncio.IncompleteReadError) as error:
        record.write("case", f"could not run: {error!r}")
        code = COULD_NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[code]
    record.write("case", verdict)
    print(verdict)
    sys.exit(code)
