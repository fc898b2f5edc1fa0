"""A zone loses power and the store comes back from a copy, soon after a machine
of another zone was restarted as planned."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import world as w  # noqa: E402

WINDOW_S = 5
# As in the site file: three machines in the first zone, two in the second and
# one in the third.
EDGES = [w.ZONES[0]] * 3 + [w.ZONES[1]] * 2 + [w.ZONES[2]]
RESTARTED = 3
AWAY_S = 1.0


async def desk(engine, head, body, writer):
    name = head.get("X-Request-Id")
    engine.world.record.line(f"{engine.name} runs {name}")
    await asyncio.sleep(0.01)
    writer.write(w.answer(200, "OK", [
        ("X-Request-Id", name),
        ("X-Response-Signature", engine.signature(name)),
        ("X-Backend-Load", engine.load())], name.encode()))
    await writer.drain()


async def ask(world, edge, name):
    outcome = "no answer"
    world.record.line(f"{name} is sent to {edge.name}")
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", edge.callers)
        writer.write(w.request("GET", "/sheet-lookup/2f", name, 1500,
                               fields=[("Connection", "close")]))
        head = await w.read_head(reader)
        if head is not None:
            outcome = head.first.split(" ", 1)[1]
        writer.close()
    except OSError:
        outcome = "no channel"
    world.record.line(f"{name} at {edge.name}: {outcome}")


def window():
    return int(time.time() // WINDOW_S)


async def until_offset(seconds):
    """Waits for a time in the current window."""
    await asyncio.sleep(max(0, window() * WINDOW_S + seconds - time.time()))


async def traffic(world):
    """Twelve requests a second at each machine that takes callers."""
    number = 0
    world.asked = set()
    while True:
        for edge in world.edges:
            if edge.takesCallers:
                task = asyncio.create_task(
                    ask(world, edge, f"request-{number}"))
                world.asked.add(task)
                task.add_done_callback(world.asked.discard)
                number += 1
        await asyncio.sleep(1 / 12)


async def case(world, trouble):
    world.engines = [w.Engine(world, f"i-desk-{i}", "wuno96b", w.ZONES[i],
                              desk) for i in range(3)]
    content = w.manifest(
        [w.route("sheet-lookup", "idempotent", "wuno96b",
                 **{"timeout-ms": 800, "max-attempts": 2, "slo-ms": 150})],
        [{"name": "wuno96b", "health-path": "/healthz",
          "max-connections": 96, "protocol": "h1", "tls": False}])
    await world.start(EDGES, content)
    for edge in world.edges:
        edge.takesCallers = True
    await world.wait_ready()
    task = asyncio.create_task(traffic(world))
    await asyncio.sleep(8)
    await asyncio.sleep(WINDOW_S - time.time() % WINDOW_S + 0.05)

    judged = window()
    world.record.line(f"window {judged} begins")
    await until_offset(0.8)
    copy = world.store.copy()
    world.record.line(f"the store's copy is of this moment, version {copy[0]}")
    await until_offset(1.4)
    # Planned work: one machine is restarted.
    restarted = world.edges[RESTARTED]
    restarted.takesCallers = False
    restarted.signal(signal.SIGTERM)
    await restarted.process.wait()
    await asyncio.sleep(0.3)
    await restarted.start()
    if window() != judged:
        raise RuntimeError("the restart took too long for this window")
    end = time.monotonic() + 12
    while judged not in world.cloud.usage:
        if time.monotonic() > end:
            raise RuntimeError("the window was not reported")
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    if trouble:
        world.record.line("the first zone loses power; the store is away")
        world.store.down = True
        for edge in world.edges:
            if edge.zone == w.ZONES[0]:
                edge.takesCallers = False
                edge.signal(signal.SIGKILL)
        await asyncio.sleep(AWAY_S)
        world.store.restore(copy)
        world.store.down = False
        world.record.line(f"the store is back, era {world.store.era}")
        # What the operator and the engines wrote is written again.
        world.store.put("op", "config", json.dumps(content))
        for engine in world.engines:
            engine.report()
    await asyncio.sleep(14)
    task.cancel()
    await asyncio.sleep(1)
    broken = False
    for number, reports in sorted(world.cloud.usage.items()):
        counts = [report[2] for report in reports]
        isTwice = any(count != counts[0] for count in counts)
        broken = broken or isTwice
        world.record.line(
            f"window {number}: " + "; ".join(
                f"{holder} with epoch {epoch}: {count}"
                for holder, epoch, count in reports) +
            (" <- accepted with different counts" if isTwice else ""))
    return broken


w.main(case)
