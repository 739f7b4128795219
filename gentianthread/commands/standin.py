"""Run stand-ins for outside systems (`gentian-standin`)."""

import asyncio
import sys
from pathlib import Path

import cyclopts

from .. import __version__
from ..standins.platform import PlatformStandin, load_instances, load_values, serve
from ..standins.target import Behaviour, StandinTarget, serve_target

EXIT_USAGE = 2

_HELP = """Run stand-ins for outside systems, for tests, trials and demonstrations.

`gentian-standin platform` serves published values and an instance list, and can go down, go silent
or serve stale content. Control it over HTTP below `/standin`.

`gentian-standin target` serves as the target of a node.
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
    host: str = "127.0.0.1",
    port: int = 9000,
    node: str = "",
    slots: int = 0,
    service_ms: float = 0.0,
    body_bytes: int = 100,
    status: int = 200,
    inner: tuple[str, ...] = (),
) -> None:
    """Serve as a target until interrupted; SIGUSR1 switches draining on and off.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on; 0 takes a free one, which is printed.
    node
        Address of the node's listener for its target, for inner calls.
    slots
        Requests that run at once, the others wait; 0 means any number.
    service_ms
        Time before an answer, in ms.
    body_bytes
        Length of an answer; the query parameter `size` overrides it.
    status
        HTTP status of answers.
    inner
        Paths that the target calls through its node before it answers.
    """
    if inner and not node:
        print("--inner needs --node", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    behaviour = Behaviour(
        status=status, service_ms=service_ms, body_bytes=body_bytes, inner_paths=inner
    )
    made = StandinTarget(behaviour, slots=slots)
    made.node_url = node
    # A stand-in that runs for long must not record every request.
    made.keep_seen = False
    asyncio.run(serve_target(made, host, port))


def main() -> None:
    """Run as a program."""
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
