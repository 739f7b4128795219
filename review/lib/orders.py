"""Send orders on kept connections, and find those that ran and got no answer."""

import asyncio
import random

from .client import Answer, Client, new_id
from .fleet import HOST, KEY


class Orders:
    """Count the orders of kept connections.

    Attributes:
        unanswered: Ids of orders whose connection, which had served others, ended before an answer.
    """

    def __init__(self, record):
        self.record = record
        self.sent = self.answered = 0
        self.unanswered = []

    async def send(self, fleet, machine, path, timeout_ms, stop):
        """Send one order after the other on one connection until told to stop."""
        client, served = Client(machine.host, fleet.outbound_port), 0
        await asyncio.sleep(random.random() * 2.0)
        while not stop.is_set():
            if not client.connected:
                served = 0
                try:
                    await client.connect()
                except (OSError, TimeoutError):
                    await asyncio.sleep(0.1)
                    continue
            # The first order makes the connection a kept one.
            request_id, order_path = new_id(), path if served else "/order/work-5"
            self.record.write(f"client at {machine.host} {request_id} sends POST {order_path}")
            self.sent += 1
            try:
                await client.send("POST", order_path, HOST, request_id, KEY, timeout_ms, b"a")
                answer = await client.receive()
            except OSError as error:
                client.close()
                answer = Answer(problem=type(error).__name__)
            self.record.write(
                f"client at {machine.host} {request_id} got {answer.status} {answer.problem}"
            )
            if answer.status:
                self.answered += 1
                served += 1
                if answer.status != 200:
                    await asyncio.sleep(0.2)
            elif served:
                self.unanswered.append(request_id)
        client.close()

    def lost(self, fleet):
        """Return the ids of unanswered orders that an upstream had begun to run."""
        begun = {name for machine in fleet.machines for name in machine.upstream.begun}
        return [name for name in self.unanswered if name in begun]
