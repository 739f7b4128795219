"""Run stand-ins for external systems (`gentian-standin`)."""

import asyncio
import sys
from pathlib import Path

import cyclopts

from .. import __version__
from ..standins.platform import PlatformStandin, load_instances, load_values, serve
from ..standins.target import Behaviour, StandinTarget, serve_target

EXIT_USAGE = 2

_HELP = """Run stand-ins for external systems, for tests, experiments and demonstrations.

`gentian-standin platform` serves published values and an instance list, and can simulate outages,
hanging connections and stale content. Control it over HTTP below `/standin`.

`gentian-standin target` acts as the target of a node.
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
        Port to listen on; 0 selects a free port, which is printed.
    values
        Output folder of `gentianctl bundle`.
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
    """Act as a target until interrupted; SIGUSR1 toggles draining.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on; 0 selects a free port, which is printed.
    node
        URL of the node's listener for its target, used for inner calls.
    slots
        Number of requests processed concurrently, others are queued; 0 means unlimited.
    service_ms
        Service time of a request in ms.
    body_bytes
        Length of the response body; the query parameter `size` overrides it.
    status
        HTTP status of responses.
    inner
        Paths that the target requests through its node before it responds.
    """
    if inner and not node:
        print("--inner needs --node", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    behaviour = Behaviour(
        status=status, service_ms=service_ms, body_bytes=body_bytes, inner_paths=inner
    )
    standin = StandinTarget(behaviour, slots=slots)
    standin.node_url = node
    # Recording every request would grow without bound in a long-running process.
    standin.keep_seen = False
    asyncio.run(serve_target(standin, host, port))


def main() -> None:
    """Run the command line."""
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
