"""Run stand-ins for outside systems (`gentian-standin`)."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter, validators

from .. import __version__
from ..standins.platform import PlatformStandin, load_instances, load_values, serve
from ..standins.target import Behaviour, serve_target

EXIT_USAGE = 2

_HELP = """Run stand-ins for outside systems, for tests, trials and demonstrations.

`gentian-standin platform` serves published values and an instance list, and can go down, go silent
or serve stale content. Control it over HTTP below `/standin`.

`gentian-standin target` serves as a target: it answers every request after a set time, and makes
inner calls through its node.
"""

app = cyclopts.App(
    name="gentian-standin",
    help=_HELP,
    help_format="markdown",
    version=__version__,
    result_action="return_value",
)
app.register_install_completion_command()


@app.command
def platform(
    *,
    host: str = "127.0.0.1",
    port: int = 8100,
    values: Path | None = None,
    instances: Path | None = None,
) -> None:
    """Serve the platform's configuration service and instance list until interrupted.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on; 0 takes a free one, which is printed.
    values
        Folder that `gentianctl bundle` wrote.
    instances
        JSON file with the instance list.
    """
    standin = PlatformStandin()
    if values is not None:
        standin.state.publish(load_values(values))
    if instances is not None:
        standin.state.set_instances(load_instances(instances))
    asyncio.run(serve(standin, host, port))


@app.command
def target(
    *,
    port: int,
    host: str = "127.0.0.1",
    node: str = "",
    service_ms: Annotated[float, Parameter(validator=validators.Number(gte=0))] = 0.0,
    body_bytes: Annotated[int, Parameter(validator=validators.Number(gte=0))] = 100,
    calls: tuple[str, ...] = (),
) -> None:
    """Serve as a target until interrupted.

    Parameters
    ----------
    port
        Port to listen on; 0 takes a free one, which is printed.
    host
        IP address to listen on.
    node
        Host and port of the `target` listener of the own node, for inner calls.
    service_ms
        Time before each answer, in ms.
    body_bytes
        Length of each answer, in bytes.
    calls
        Path of an inner call before each answer; may be given several times.
    """
    if calls and not node:
        print("--calls needs --node", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    behaviour = Behaviour(service_ms=service_ms, body_bytes=body_bytes, inner_paths=calls)
    asyncio.run(serve_target(behaviour, host, port, f"http://{node}"))


def main() -> None:
    """Run as a program."""
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
