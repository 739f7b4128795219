"""Stand in for the platform's configuration service and instance list.

The service speaks the protocol of `transport.platform_http`. Operators' tools, tests and the demo
control it below `/standin`, which no fault affects:

- `PUT /standin/values/KEY` publishes a value; `DELETE` removes it.
- `PUT /standin/instances` replaces the list with a JSON array of entries.
- `PUT /standin/faults` sets faults with JSON: `{"down", "silent", "stale", "delay_ms"}`.
- `GET /standin/stats` answers `{"reads": N}`; a waiting watch counts as one read.
"""

import asyncio
import json
from pathlib import Path

import attrs
from aiohttp import web

from ..errors import PlatformUnavailable
from ..state.bundle import HEAD_KEY
from ..state.revisions import era_of, number_of
from ..transport.platforms import (
    VALUE_LIMIT_BYTES,
    ListedInstance,
    PlatformFaults,
    PlatformState,
    PlatformValue,
)

# Bounds how long the stand-in keeps a watch, whatever the reader asks for.
WATCH_LIMIT_MS = 60_000


class PlatformStandin:
    """Serve a `PlatformState` over HTTP.

    Attributes:
        state: The content and faults.
    """

    def __init__(self, state: PlatformState | None = None):
        """Create a stand-in that does not listen yet.

        Args:
            state: The content; empty by default.
        """
        self.state = state or PlatformState()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the port.

        Args:
            host: IP address.
            port: Port; 0 takes a free one.
        """
        app = web.Application(client_max_size=VALUE_LIMIT_BYTES)
        app.add_routes(
            [
                web.get("/values/{key:.+}", self._get_value),
                web.get("/instances", self._get_instances),
                web.put("/standin/values/{key:.+}", self._put_value),
                web.delete("/standin/values/{key:.+}", self._delete_value),
                web.put("/standin/instances", self._put_instances),
                web.put("/standin/faults", self._put_faults),
                web.get("/standin/stats", self._get_stats),
            ]
        )
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        return self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _get_value(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        waits = "wait_ms" in request.query
        try:
            if waits:
                wait_ms = min(float(request.query["wait_ms"]), WATCH_LIMIT_MS)
                known = request.query.get("known") or None
                value = await self.state.watch(key, known, wait_ms)
            else:
                value = await self.state.read(key)
        except PlatformUnavailable:
            return _break_connection(request)
        if value is None:
            return web.Response(status=304 if waits else 404)
        return _answer(value)

    async def _get_instances(self, request: web.Request) -> web.Response:
        try:
            listed = await self.state.list_instances()
        except PlatformUnavailable:
            return _break_connection(request)
        return web.json_response(
            {
                "era": era_of(listed.revision),
                "revision": number_of(listed.revision),
                "instances": [attrs.asdict(entry) for entry in listed.instances],
            }
        )

    async def _put_value(self, request: web.Request) -> web.Response:
        self.state.publish({request.match_info["key"]: await request.read()})
        return web.Response(status=204)

    async def _delete_value(self, request: web.Request) -> web.Response:
        self.state.remove(request.match_info["key"])
        return web.Response(status=204)

    async def _put_instances(self, request: web.Request) -> web.Response:
        try:
            entries = tuple(ListedInstance(**entry) for entry in await request.json())
        except (TypeError, ValueError) as error:
            return web.Response(status=400, text=str(error))
        self.state.set_instances(entries)
        return web.Response(status=204)

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            self.state.set_faults(PlatformFaults(**await request.json()))
        except (TypeError, ValueError) as error:
            return web.Response(status=400, text=str(error))
        return web.Response(status=204)

    async def _get_stats(self, request: web.Request) -> web.Response:
        return web.json_response({"reads": self.state.reads})


def _answer(value: PlatformValue) -> web.Response:
    return web.Response(body=value.data, headers={"ETag": f'"{value.revision}"'})


def _break_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def load_values(folder: Path) -> dict[str, bytes]:
    """Return the values of a folder that `gentianctl bundle` wrote, the head last."""
    files = [file for file in sorted(folder.rglob("*")) if file.is_file()]
    values = {file.relative_to(folder).as_posix(): file.read_bytes() for file in files}
    return dict(sorted(values.items(), key=lambda item: item[0] == HEAD_KEY))


def load_instances(file: Path) -> tuple[ListedInstance, ...]:
    """Return the entries of a JSON file with an array like that of `/standin/instances`."""
    return tuple(ListedInstance(**entry) for entry in json.loads(file.read_text()))


async def serve(standin: PlatformStandin, host: str, port: int) -> None:
    """Serve until the task is cancelled."""
    taken = await standin.start(host, port)
    print(f"platform stand-in on http://{host}:{taken}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await standin.close()
