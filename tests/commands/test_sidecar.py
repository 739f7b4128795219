import asyncio
import io
import json
import os
import signal
import sys
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory

from gentianthread.commands import sidecar
from gentianthread.coordination.mesh.process import SidecarExitCode
from gentianthread.platform.documents import PLAN_KEY, UPSTREAM_PREFIX
from gentianthread.standins.mesh import MeshTarget, plan_document, private_network
from gentianthread.standins.mesh_store import MeshStore

from ..base import SocketTestCase

SETTINGS = """
[node]
host = {host}
availability_zone = a
service = catalogue
[listeners]
outbound = {host}:7802
ready = {host}:7803
metrics = {host}:7804
peer_port = 7805
[target]
address = {host}:7801
[platform]
address = {store}:7806
[stop]
grace = 3s
"""


class TestCommandLine(SocketTestCase):
    def run_main(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            code = sidecar.main(list(arguments))
        return code, out.getvalue(), err.getvalue()

    def test_help_and_invalid_arguments(self):
        """Guards against starting with an invalid command line."""
        self.assertEqual((0, sidecar.USAGE, ""), self.run_main("--help"))
        self.assertEqual((2, "", sidecar.USAGE), self.run_main())
        self.assertEqual((2, "", sidecar.USAGE), self.run_main("--verbose", "x"))

    def test_missing_settings_file_is_reported(self):
        """Guards against a traceback instead of the name of the missing file."""
        code, _, err = self.run_main("/nowhere/settings.ini")
        self.assertEqual(SidecarExitCode.INVALID_SETTINGS, code)
        self.assertIn("settings.ini", err)


class TestProcess(SocketTestCase):
    async def test_start_reload_dump_and_stop(self):
        """Guards against faults in the assembled program that tests of its parts cannot show."""
        network = private_network()
        host, store = f"{network}.1", MeshStore(f"{network}.250")
        target = MeshTarget(host, "catalogue", "catalogue-0")
        await target.open()
        await store.open()
        store.put(PLAN_KEY, plan_document())
        store.put(UPSTREAM_PREFIX + "catalogue-0", target.entry())
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.ini"
            path.write_text(SETTINGS.format(host=host, store=store.host))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gentianthread.commands.sidecar",
                str(path),
                stdout=asyncio.subprocess.PIPE,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
            await self.wait_ready(host)
            self.assertIn(b"target_answered_total 1", await self.get(host, 7804, "/metrics"))
            dump = json.loads((await self.get(host, 7804, "/dump")).partition(b"\r\n\r\n")[2])
            self.assertEqual(("catalogue", 1), (dump["service"], dump["plan"]))
            path.write_text("[node]\n")
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            self.assertIn(b" 200 ", (await self.get(host, 7803, "/api/readyz"))[:20])
            process.send_signal(signal.SIGTERM)
            lines = (await process.communicate())[0].decode().splitlines()
        self.assertEqual(0, process.returncode)
        events = [json.loads(line)["event"] for line in lines]
        for event in (100, 101, 102, 702, 704, 709):
            self.assertIn(event, events)
        await store.close()
        await target.close()

    async def wait_ready(self, host):
        while True:
            try:
                if b" 200 " in (await self.get(host, 7803, "/api/readyz"))[:20]:
                    break
            except OSError:
                # The process does not listen yet.
                pass
            await asyncio.sleep(0.05)
        answer = await self.get(
            host,
            7802,
            "/stock/1",
            b"Request-Id: t1\r\nTimeout-Ms: 2000\r\nKey: key-acme\r\n",
            b"shop.example",
        )
        self.assertIn(b" 200 ", answer[:20])

    async def get(self, host, port, path, fields=b"", host_name=b"a"):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"GET %b HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n%b\r\n"
            % (path.encode(), host_name, fields)
        )
        answer = await reader.read()
        writer.close()
        return answer
