"""Engines leave while the platform's store is down: they say so in their
answers alone."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import world as w  # noqa: E402

DRAIN_S = 2.0
OUTAGE_S = 4.5
# From the notice until the engines of the zone are gone.
LEAVES_S = 2.9
ZONE = w.ZONES[1]
EVENTS = 8


async def model(engine, head, body, writer):
    """A stream of eight events in half a second."""
    name = head.get("X-Request-Id")
    world = engine.world
    world.arrivals.append((time.monotonic(), name, engine.name))
    leaving = engine.leaving
    world.record.line(f"{engine.name}{' (leaving)' if leaving else ''} "
                      f"runs {name}")
    fields = [("X-Request-Id", name),
              ("X-Response-Signature", engine.signature(name)),
              ("X-Backend-Load", engine.load()),
              ("Content-Type", "text/event-stream"),
              ("Transfer-Encoding", "chunked")]
    if leaving:
        fields.append(("Server-Leaving", "1"))
    text = "HTTP/1.1 200 OK\r\n" + "".join(
        f"{key}: {value}\r\n" for key, value in fields) + "\r\n"
    writer.write(text.encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(0.06)
        event = f"id: {number}\ndata: {name}/{number}\n\n".encode()
        writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def ask(world, edge, name):
    sent = time.monotonic()
    world.sent[name] = (sent, edge.name)
    world.record.line(f"{name} is sent to {edge.name}")
    outcome = "no channel"
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", edge.callers)
        writer.write(w.request("POST", "/full-sheet-review/2f", name, 6000,
                               b"prompt", [
                                   ("X-Model", "m"),
                                   ("X-Token-Usage", "200,24"),
                                   ("X-Prefix-Hash",
                                    f"5c1e07a2:150,{hash(name) & 0xffffff:x}:50")]))
        head = await w.read_head(reader)
        if head is None:
            outcome = "closed without an answer"
        else:
            outcome = head.first.split(" ", 1)[1]
            engine = head.get("X-Response-Signature").split(".")[0]
            if head.get("Server-Leaving") == "1":
                world.passedOn.setdefault((edge.name, engine),
                                          time.monotonic())
            if head.get("Transfer-Encoding") == "chunked":
                try:
                    await w.read_body(reader, head)
                    outcome += ", whole"
                except (asyncio.IncompleteReadError, ConnectionError,
                        ValueError):
                    outcome += ", cut"
        writer.close()
    except OSError as error:
        outcome = repr(error)
    world.outcomes[name] = outcome
    world.record.line(f"{name} at {edge.name}: {outcome}")


async def case(world, trouble):
    world.arrivals = []
    world.sent = {}
    world.passedOn = {}
    world.outcomes = {}
    for index in range(6):
        zone = w.ZONES[index % 3]
        engine = w.Engine(world, f"i-model-{index}", "huvo11a", zone, model, 64)
        engine.leaving = False
        engine.extra = {"phase": "unified", "preemptible": True,
                        "models": [{"name": "m", "version": 1, "loras": []}]}
        world.engines.append(engine)
    await world.start(3, w.manifest(
        [w.route("full-sheet-review", "streaming", "huvo11a",
                 **{"timeout-ms": 6000, "sticky": True, "resumable": False,
                    "itl-target-ms": 400})],
        [{"name": "huvo11a", "health-path": "/healthz",
          "max-connections": 360, "protocol": "h1", "tls": False,
          "backend": {"slots": 64, "kv-capacity": 374098,
                      "models": [{"name": "m"}]}}]))
    await world.wait_ready()
    await asyncio.sleep(4)
    tasks = []

    async def traffic(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            name = f"request-{len(tasks)}"
            edge = world.edges[len(tasks) % len(world.edges)]
            tasks.append(asyncio.create_task(ask(world, edge, name)))
            await asyncio.sleep(0.02)

    async def store_down():
        if trouble:
            world.record.line("the store is down")
            world.store.down = True
            await asyncio.sleep(OUTAGE_S)
            world.store.down = False
            world.record.line("the store is back")

    async def leave():
        await asyncio.sleep(0.5)
        leaving = [e for e in world.engines if e.zone == ZONE]
        for engine in leaving:
            engine.leaving = True
            engine.state = "draining"
            engine.extra["leaves_ms"] = int(LEAVES_S * 1000)
            world.record.line(f"{engine.name} is told to leave")
            if not world.store.down:
                engine.report()
        await asyncio.sleep(LEAVES_S)
        for engine in leaving:
            engine.exit()
            world.record.line(f"{engine.name} is gone")
        while world.store.down:
            await asyncio.sleep(0.05)
        for engine in leaving:
            world.store.remove("servers", engine.name)

    await asyncio.gather(traffic(7), store_down(), leave())
    await asyncio.gather(*tasks)
    late = []
    for at, name, engine in world.arrivals:
        sent, edge = world.sent[name]
        first = world.passedOn.get((edge, engine))
        if first is not None and sent > first + DRAIN_S:
            late.append(name)
            world.record.line(
                f"{name} was sent {sent - first:.2f} s after {edge} had passed "
                f"on that {engine} leaves, and reached it: "
                f"{world.outcomes[name]}")
    lost = [name for name in late if "whole" not in world.outcomes[name]]
    world.record.line(f"{len(late)} requests reached engines that had left, "
                      f"{len(lost)} of them got no whole answer")
    return bool(late)


w.main(case)
