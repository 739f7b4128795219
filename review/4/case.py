"""Remove upstreams of the store's list a few seconds after the store was down."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.client import Answer, Client, new_id  # noqa: E402
from lib.fleet import HOST, KEY, Fleet, plan, run_case  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
OUTAGE_S = 4.5
# An upstream joins while the nodes still expect entries to return.
JOIN_AFTER_S = 2.3
# The store has been without impairment for `contact` when it confirms the removals.
LEAVE_AFTER_S = CONTACT_S + 0.1
LEAVE_GAP_S = 0.04
# The leaving upstreams serve for `drain` and a little longer, and then exit.
SERVES_S = DRAIN_S + 0.12
TIMEOUT_MS = 6_000


async def send_orders(fleet, machine, stop, counts, record):
    """Send orders over one kept connection, about 15 each second."""
    client = Client(machine.host, fleet.outbound_port)
    while not stop.is_set():
        try:
            if not client.connected:
                await client.connect()
            request_id = new_id()
            await client.send("POST", "/order/work-60", HOST, request_id, KEY, TIMEOUT_MS, b"a")
            answer = await client.receive()
        except (OSError, TimeoutError) as error:
            client.close()
            answer = Answer(problem=type(error).__name__)
        counts[answer.status] = counts.get(answer.status, 0) + 1
        record.write(f"client at {machine.host} {request_id} got {answer.status} {answer.problem}")
        await asyncio.sleep(0.02)
    client.close()


async def play(record, trouble):
    loop = asyncio.get_running_loop()
    fleet = Fleet(record)
    await fleet.open(plan())
    reads = await fleet.add("reads", "reads-0")
    for index in range(6):
        await fleet.add("orders", f"orders-{index}", slots=3)
    joiner = await fleet.add("reads", "reads-1", listed=False)
    leavers = [machine.upstream for machine in fleet.machines[3:6]]
    counts, stop = {}, asyncio.Event()
    removed_s = {}
    try:
        await fleet.start()
        callers = [
            asyncio.ensure_future(send_orders(fleet, machine, stop, counts, record))
            for machine in (reads, *fleet.machines[3:6])
            for _ in range(5)
        ]
        await asyncio.sleep(1.0)
        if trouble:
            record.write("store down")
            fleet.store.go_down()
        await asyncio.sleep(OUTAGE_S)
        fleet.store.down = False
        up_s = loop.time()
        record.write("store up")
        await asyncio.sleep(JOIN_AFTER_S)
        fleet.list(joiner.upstream)
        await asyncio.sleep(up_s + LEAVE_AFTER_S - loop.time())
        for upstream in leavers:
            fleet.store.remove(f"servers/{upstream.upstream_id}")
            removed_s[upstream.upstream_id] = loop.time()
            record.write(f"store confirms that {upstream.upstream_id} is gone")
            loop.call_at(removed_s[upstream.upstream_id] + SERVES_S, upstream.close)
            await asyncio.sleep(LEAVE_GAP_S)
        await asyncio.sleep(SERVES_S + 1.0)
        stop.set()
        await asyncio.gather(*callers)
    finally:
        await fleet.close()
    late = 0
    for upstream in leavers:
        delays = [s - removed_s[upstream.upstream_id] for s in upstream.begun_at_s]
        late_delays = [delay for delay in delays if delay > DRAIN_S]
        late += len(late_delays)
        record.write(
            f"{upstream.upstream_id}: last request {max(delays):.3f} s after the confirmation, "
            f"{len(late_delays)} later than {DRAIN_S} s"
        )
        print(upstream.upstream_id, f"last={max(delays):.3f} late={len(late_delays)}")
    record.write(f"answers by status: {counts}")
    print(counts)
    return late > 0


sys.exit(run_case(play, Path(__file__).resolve().parent))
