"""A request that crashes the servers that run it comes again after planned restarts of the gateways."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import standins as s

ZONES = ["zone-a", "zone-a", "zone-b", "zone-c"]
KEY = "i9n73hh2b9wu3fexd9dn"
SERVERS = 3
CONTACT_S = 3.0
# An engine that crashed is back after some seconds.
DOWN_S = 2.5
GAP_S = 1.3
ROLLS = 2
MAX_RETRIES = 3
DEADLY = "/cufi504/deadly"


async def case(record, folder, with_trouble, gateways):
    store = s.Store()
    await store.start()
    engines, crashes, reached = [], [], []
    out_of_touch_until = {}

    def put_entry(engine):
        store.put(f"servers/{engine.id}", engine.entry())

    async def restart(engine):
        await asyncio.sleep(DOWN_S)
        await engine.start()
        put_entry(engine)
        record.line(f"{engine.id} is back")

    async def answer(engine, line, fields, body, writer):
        request_id = s.field(fields, "x-request-id")
        if DEADLY in line:
            gateway = sender.get(request_id)
            is_in_touch = s.now() >= out_of_touch_until.get(gateway, 0.0)
            reached.append((s.now(), request_id, is_in_touch))
            crashes.append(s.now())
            record.say(f"{engine.id} begins to run {request_id} ({DEADLY}) and crashes: crash {len(crashes)}")
            engine.crash()
            asyncio.ensure_future(restart(engine))
            return
        await asyncio.sleep(0.015)
        content = f"{request_id} at {engine.id}".encode()
        record.line(f"{engine.id} runs {request_id}")
        writer.write(engine.head(200, fields, [f"x-response-seal: {s.seal(engine.id, content)}",
                                               f"content-length: {len(content)}"]) + content)

    for number in range(SERVERS):
        engine = s.Engine(f"i-aace57a9{number}", "orders-app", ZONES[number + 1], 6, answer)
        await engine.start()
        engines.append(engine)
        put_entry(engine)
    store.put("op/config", {
        "version": 7,
        "routes": [{"name": "stock-check", "host": s.HOST, "path_prefix": "/cufi504/", "kind": "idempotent",
                    "timeout_ms": 800, "goal_ms": 100, "priority": 2, "service": "orders-app",
                    "max_attempts": 2, "public": False}],
        "services": [{"name": "orders-app", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "plain_tokens": 200}],
    })
    for number, zone in enumerate(ZONES):
        gateways.append(s.Gateway(folder, f"front-{number}", zone, store))
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(CONTACT_S)

    sender = {}
    sent = 0
    is_over = False

    async def call(gateway, path):
        nonlocal sent
        sent += 1
        request_id = f"{sent:016x}"
        sender[request_id] = gateway.name
        caller = s.Caller(gateway.front)
        answer = await caller.call("GET", path, {"x-request-id": request_id, "x-credential": KEY,
                                                 "x-deadline-ms": "1500"}, limit_s=1.6)
        caller.close()
        return request_id, answer

    async def sound_callers():
        while not is_over:
            for gateway in gateways:
                request_id, answer = await call(gateway, "/cufi504/lo20")
                record.line(f"{request_id} at {gateway.name}: {answer.status or 'no answer'}")
            await asyncio.sleep(0.1)

    async def deadly_rounds(count):
        """The deadly request comes again, at one machine after the other."""
        for turn in range(count):
            gateway = gateways[turn % len(gateways)]
            request_id, answer = await call(gateway, DEADLY)
            record.say(f"the deadly request {request_id} at {gateway.name}: {answer.status or 'no answer'}")
            await asyncio.sleep(1.0)

    async def roll():
        for gateway in gateways:
            if with_trouble:
                record.line(f"SIGTERM to {gateway.name}")
                out_of_touch_until[gateway.name] = float("inf")
                gateway.signal(signal.SIGTERM)
                await gateway.process.wait()
                await gateway.start()
                await gateway.wait_until_ready()
                out_of_touch_until[gateway.name] = s.now() + CONTACT_S
                record.line(f"{gateway.name} is ready again")
            else:
                await asyncio.sleep(3.8)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(CONTACT_S)

    background = asyncio.ensure_future(sound_callers())
    await deadly_rounds(6)
    for number in range(ROLLS):
        record.say(f"roll_term: the machines are stopped and started in turn ({number + 1})"
                   if with_trouble else "no machine is stopped")
        await roll()
        record.say("all machines are in touch; the deadly request comes again")
        await deadly_rounds(4)
    is_over = True
    await background

    if len(crashes) < 3:
        raise s.CannotRun(f"the deadly request crashed servers {len(crashes)} times only")
    late = [request_id for at, request_id, is_in_touch in reached
            if is_in_touch and at > crashes[2] + CONTACT_S]
    retries = set(late)
    record.say(f"{len(retries)} retries of the deadly request reached servers ({len(late)} arrivals) later than "
               f"contact_ms after its third crash; allowed are {MAX_RETRIES}")
    return len(retries) > MAX_RETRIES


s.run_case(sys.argv[1] if len(sys.argv) > 1 else os.path.join(HERE, "record.txt"), case)
