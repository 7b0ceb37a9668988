"""A new version fails a part of its answers on one route only."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import standins as s

ZONES = ["zone-a", "zone-b", "zone-c"]
KEY = "i9n73hh2b9wu3fexd9dn"
SERVICE = "orders-app"
ORDER_S = 12
ROLLBACK_S = 5.0
CANARY_SHARE = 0.1
CANARY_SLACK = 50
BAD_ANSWER_LIMIT = 50
# All machines are in touch (contact_ms 3,000) when the order is given.
CALM_S = 4.0
RUN_S = 30.0
# Requests a second: of five, one is on the route on which the new version fails.
ROUTES = [("/fitting/", 0.2), ("/showroom/", 0.8)]
BAD_ROUTE = "/fitting/"
# The new version fails one of so many answers on that route.
BAD_ONE_IN = 5
CALLERS = 16
PAUSE_S = 0.08


async def case(record, folder, with_trouble, gateways):
    store = s.Store()
    await store.start()
    sent_at, arrivals, bad_answers, on_bad_route = {}, [], [], []

    async def answer(engine, line, fields, body, writer):
        request_id = s.field(fields, "x-request-id")
        is_bad = False
        if engine.version == "v2" and f" {BAD_ROUTE}" in line:
            on_bad_route.append(request_id)
            is_bad = with_trouble and len(on_bad_route) % BAD_ONE_IN == 0
        arrivals.append((s.now(), request_id, engine.version))
        await asyncio.sleep(0.015)
        status = 500 if is_bad else 200
        if is_bad:
            bad_answers.append(s.now())
        record.line(f"{engine.id} ({engine.version}) runs {request_id}: {status}")
        content = f"{request_id} at {engine.id}".encode()
        writer.write(engine.head(status, fields, [f"x-response-seal: {s.seal(engine.id, content)}",
                                                  f"content-length: {len(content)}"]) + content)

    engines = []

    async def start_engine(number, version):
        engine = s.Engine(f"i-{version}{number:08x}", SERVICE, ZONES[number % 3], 6, answer)
        engine.version = version
        await engine.start()
        engines.append(engine)
        store.put(f"servers/{engine.id}", dict(engine.entry(), version=version))

    for number in range(3):
        await start_engine(number, "v1")
    store.put("op/config", {
        "version": 7,
        "routes": [{"name": prefix.strip("/"), "host": s.HOST, "path_prefix": prefix, "kind": "idempotent",
                    "timeout_ms": 800, "goal_ms": 100, "priority": 2, "service": SERVICE,
                    "max_attempts": 2, "public": False} for prefix, _ in ROUTES],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100}],
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

    end = s.now() + CALM_S + RUN_S

    async def caller(number):
        connection, count = s.Caller(gateways[number % len(gateways)].front), 0
        pick = random.Random(number)
        while s.now() < end:
            count += 1
            request_id = f"{number:04x}{count:012x}"
            prefix = pick.choices([prefix for prefix, _ in ROUTES], [share for _, share in ROUTES])[0]
            sent_at[request_id] = s.now()
            answer = await connection.call("GET", f"{prefix}2f", {
                "x-request-id": request_id, "x-credential": KEY, "x-deadline-ms": "1500"}, limit_s=1.6)
            record.line(f"caller {number} sent {request_id} ({prefix}): {answer.status or 'no answer'}")
            await asyncio.sleep(PAUSE_S)

    status, status_at, ordered_at = None, None, None

    async def operator():
        nonlocal status, status_at, ordered_at
        await asyncio.sleep(CALM_S)
        record.say("the operator orders version v2 within 12 s; its engines are started alongside")
        ordered_at = s.now()
        store.put(f"op/rollout/{SERVICE}", {"service": SERVICE, "target": "v2", "over_s": ORDER_S})
        for number in range(3):
            await start_engine(number, "v2")
        key = f"status/rollout/{SERVICE}"
        while s.now() < end:
            await asyncio.sleep(0.02)
            if key in store.items:
                state = s.json.loads(s.base64.b64decode(store.items[key]["value"]))["state"]
                if state != status:
                    status, status_at = state, s.now()
                    record.say(f"status of the rollout: {state}, {status_at - ordered_at:.1f} s after the order")
                    if state == "complete":
                        for engine in [engine for engine in engines if engine.version == "v1"]:
                            engine.crash()
                            store.remove(f"servers/{engine.id}")

    await asyncio.gather(operator(), *(caller(number) for number in range(CALLERS)))

    deadline = ordered_at + ORDER_S
    # A request that was sent once more counts once.
    is_during = [(request_id, version) for at, request_id, version in arrivals if ordered_at <= at < deadline]
    reached = {request_id for request_id, _ in is_during}
    exposed = {request_id for request_id, version in is_during if version == "v2"}
    allowed = CANARY_SHARE * len(reached) + CANARY_SLACK
    record.say(f"between the order and its deadline v2 got {len(exposed)} of {len(reached)} requests; "
               f"a bad version may get {allowed:.0f}")
    late = set()
    if len(bad_answers) >= BAD_ANSWER_LIMIT:
        shown_at = bad_answers[BAD_ANSWER_LIMIT - 1]
        late = {request_id for _, request_id, version in arrivals
                if version == "v2" and sent_at[request_id] > shown_at + ROLLBACK_S}
        record.say(f"the 50th bad answer of v2 came {shown_at - ordered_at:.1f} s after the order; v2 got {len(late)} "
                   f"requests that were sent later than rollback_ms after it")
    record.say(f"bad answers of v2: {len(bad_answers)}; last status: {status}")
    # The rule bounds bad versions only; one that gave no bad answer is good.
    is_bad_version = len(bad_answers) > 0
    return is_bad_version and (len(exposed) > allowed or len(late) > 0)


s.run_case(sys.argv[1] if len(sys.argv) > 1 else os.path.join(HERE, "record.txt"), case)
