"""Requests whose bodies come in many small pieces bring a node over its memory limit, and it is killed."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from standins import (BROKEN, HELD, CacheServer, Discovery, Node, read_message, request_class, request_head,
                      run_case, settings)

MEMORY_MB = 64
DESCRIPTORS = 256
# "Clients use at most a third of the descriptors for requests": 85. These are under half of that.
LONG_REQUEST_CLIENTS = 40
ORDINARY_CLIENTS = 5
ORDINARY_PAUSE_S = 0.05
# "A body holds 64 KiB at most."
BODY = b"x" * (64 << 10)
DEADLINE_MS = 5000
SAMPLE_INTERVAL_S = 0.005
WARM_UP_S = 1.0
DURATION_S = 12.0


def in_one_piece(body):
    return [f"Content-Length: {len(body)}"], body


def in_small_pieces(body):
    """The chunked form of HTTP/1.1, one byte to a chunk."""
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    return ["Transfer-Encoding: chunked"], chunks + b"0\r\n\r\n"


class Platform:
    """Kills the node when it is over its memory limit, as the deployment page says."""

    def __init__(self, record, node):
        self.record, self.node = record, node
        self.peak_kb, self.killed = 0, False

    async def run(self):
        while (memory := self.node.memory_kb()) is not None:
            resident_kb, self.peak_kb = memory
            if resident_kb > MEMORY_MB * 1024:
                self.record.write("platform", f"{resident_kb} KB is over {MEMORY_MB} MB")
                self.node.signal(signal.SIGKILL)
                self.killed = True
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def exchange(record, reader, writer, request_id, head, body=b""):
    """Sends a request and returns the status of its answer, or how the connection ended."""
    record.write("client", f"sends {request_id}: {len(head) + len(body)} bytes")
    try:
        writer.write(head + body)
        await writer.drain()
        answer = await read_message(reader)
    except ConnectionError:
        answer = None
    status = answer[0].split(" ")[1] if answer else "no answer: the connection ended"
    record.write("client", f"{request_id} answered {status}")
    return status


async def long_request(record, port, number, form, begin):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    first_id, long_id = f"{number:08x}00000000", f"{number:08x}00000001"
    await exchange(record, reader, writer, first_id, request_head(first_id, "read", DEADLINE_MS))
    await begin.wait()
    headers, body = form(BODY)
    headers = [*headers, f"Idempotency-Key: {long_id}"]
    head = request_head(long_id, "write", DEADLINE_MS, "PUT", f"{number:016x}", headers)
    status = await exchange(record, reader, writer, long_id, head, body)
    writer.close()
    return status


async def ordinary_client(record, port, number, until, outcomes):
    reader = writer = None
    sent = 0
    while time.monotonic() < until:
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            return
        sent += 1
        request_id = f"{number + 0x1000:08x}{sent:08x}"
        head = request_head(request_id, "read", DEADLINE_MS, key=f"{sent:016x}")
        status = await exchange(record, reader, writer, request_id, head)
        outcomes[status] = outcomes.get(status, 0) + 1
        if not status.isdigit():
            writer.close()
            reader = writer = None
        await asyncio.sleep(ORDINARY_PAUSE_S)


async def case(record, trouble):
    discovery = Discovery(record)
    await discovery.start()
    servers = [CacheServer(record, f"s-{number}", 0.01) for number in range(3)]
    for server in servers:
        await server.start()
    discovery.hosts = [server.entry() for server in servers]
    classes = [request_class("read", "safe", DEADLINE_MS), request_class("write", "keyed", DEADLINE_MS)]
    node = Node(record, discovery.address, settings(classes), DESCRIPTORS, MEMORY_MB, discovery.hosts)
    try:
        node.start(os.devnull)
        await node.wait_until_ready()
        platform, ordinary, begin = Platform(record, node), {}, asyncio.Event()
        watching = asyncio.create_task(platform.run())
        until = time.monotonic() + DURATION_S
        form = in_small_pieces if trouble else in_one_piece
        tasks = [asyncio.create_task(long_request(record, node.port, number, form, begin))
                 for number in range(LONG_REQUEST_CLIENTS)]
        ordinaries = [asyncio.create_task(ordinary_client(record, node.port, number, until, ordinary))
                      for number in range(ORDINARY_CLIENTS)]
        await asyncio.sleep(WARM_UP_S)
        record.write("case", f"{LONG_REQUEST_CLIENTS} clients send a request of {len(BODY)} bytes now")
        begin.set()
        long = {}
        for status in await asyncio.gather(*tasks):
            long[status] = long.get(status, 0) + 1
        await asyncio.gather(*ordinaries)
        watching.cancel()
        summary = (f"peak memory {platform.peak_kb / 1024:.1f} of {MEMORY_MB} MB, killed: {platform.killed}; "
                   f"long requests {long}; ordinary requests {ordinary}")
        record.write("case", summary)
        print(summary)
        return BROKEN if platform.killed or platform.peak_kb > MEMORY_MB * 1024 else HELD
    finally:
        node.stop()


run_case(HERE / "record.txt", case)
