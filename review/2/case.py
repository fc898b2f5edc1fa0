"""An entry of another writer among the engines: one that leaves, in a zone for
which the manifest has no price."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import world as w  # noqa: E402

CALLERS = 8
SECONDS = 25
ENTRY = {"service": "huvo11a", "address": "127.0.0.1:9", "zone": "moray-a",
         "version": "v1", "slots": 64, "state": "draining",
         "preemptible": True, "cold-remaining-ms": 0, "phase": "unified",
         "models": [{"name": "m", "version": 1, "loras": []}], "sequence": 4}


async def model(engine, head, body, writer):
    """Nobody asks the model in this case."""
    writer.write(w.answer(500, "Not asked", [
        ("X-Request-Id", head.get("X-Request-Id"))], b""))
    await writer.drain()


async def desk(engine, head, body, writer):
    """Runs the request for 200 ms."""
    name = head.get("X-Request-Id")
    engine.world.begun.add(name)
    engine.world.record.line(f"{engine.name} runs {name}")
    await asyncio.sleep(0.2)
    writer.write(w.answer(200, "OK", [
        ("X-Request-Id", name),
        ("X-Response-Signature", engine.signature(name)),
        ("X-Backend-Load", engine.load())], name.encode()))
    await writer.drain()


async def ask(world, edge, name, reader, writer):
    """Sends a request and returns the answer's status, empty without one."""
    world.record.line(f"{name} is sent to {edge.name}")
    try:
        writer.write(w.request("POST", "/cert-issue/2f", name, 1500,
                               b"certificate"))
        head = await w.read_head(reader)
        if head is None:
            return ""
        await reader.readexactly(int(head.get("Content-Length", "0")))
        return head.first.split(" ", 1)[1]
    except (OSError, asyncio.IncompleteReadError):
        return ""


async def caller(world, edge, label, end):
    """Asks again and again, on a kept channel while it can be kept."""
    number = 0
    writer = None
    while time.monotonic() < end:
        await asyncio.sleep(0.02)
        isKept = writer is not None
        if not isKept:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", edge.callers)
            except OSError:
                await asyncio.sleep(0.2)
                continue
        name = f"request-{label}-{number}"
        number += 1
        status = await ask(world, edge, name, reader, writer)
        world.record.line(f"{name} at {edge.name}, "
                          f"{'kept' if isKept else 'new'} channel: "
                          f"{status or 'closed without an answer'}")
        if not status:
            if isKept and name in world.begun:
                world.lost.append(name)
            writer.close()
            writer = None
    if writer is not None:
        writer.close()


async def keep_running(world, edge):
    """The platform starts a process that has ended again after a short delay."""
    while True:
        await edge.process.wait()
        await asyncio.sleep(0.3)
        await edge.start()


async def case(world, trouble):
    world.begun, world.lost = set(), []
    for index in range(6):
        engine = w.Engine(world, f"i-model-{index}", "huvo11a",
                          w.ZONES[index % 3], model, 64)
        engine.extra = {"phase": "unified",
                        "models": [{"name": "m", "version": 1, "loras": []}]}
        world.engines.append(engine)
    for index in range(3):
        world.engines.append(w.Engine(world, f"i-desk-{index}", "wuno96b",
                                      w.ZONES[index], desk, 32))
    await world.start(3, w.manifest(
        [w.route("full-sheet-review", "streaming", "huvo11a",
                 **{"timeout-ms": 6000, "sticky": True, "resumable": False,
                    "itl-target-ms": 400}),
         w.route("cert-issue", "non_idempotent", "wuno96b",
                 **{"timeout-ms": 1500})],
        [{"name": "huvo11a", "health-path": "/healthz",
          "max-connections": 360, "protocol": "h1", "tls": False,
          "backend": {"slots": 64, "kv-capacity": 374098,
                      "models": [{"name": "m"}]},
          "scaling": {"min": 1, "max": 12, "boot-s": 4.0, "spot-price": 0.22,
                      "zone-prices": {"forth-a": 0.85, "forth-b": 1.2,
                                      "forth-c": 1.0}}},
         {"name": "wuno96b", "health-path": "/healthz",
          "max-connections": 96, "protocol": "h1", "tls": False}]))
    await world.wait_ready()
    keepers = [asyncio.create_task(keep_running(world, edge))
               for edge in world.edges]
    end = time.monotonic() + 6 + SECONDS
    tasks = [asyncio.create_task(caller(world, edge, f"{edge.index}-{i}", end))
             for edge in world.edges for i in range(CALLERS)]
    await asyncio.sleep(6)
    if trouble:
        world.record.line("another writer's entry is put: " + json.dumps(ENTRY))
        world.store.put("servers", "i-other", json.dumps(ENTRY))
    await asyncio.gather(*tasks)
    for keeper in keepers:
        keeper.cancel()
    ends = sum(len(edge.ends) for edge in world.edges)
    world.record.line(
        f"processes ended by themselves {ends} times ("
        + ", ".join(f"{edge.name}: {len(edge.ends)}" for edge in world.edges)
        + f"); {len(world.lost)} requests of kept channels that sound engines "
        f"had begun were closed without an answer")
    return ends > 0 and len(world.lost) > 3


w.main(case)
