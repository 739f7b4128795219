"""Run stand-ins for outside systems (`gentian-standin`)."""

import asyncio
import sys
from pathlib import Path

import cyclopts

from .. import __version__
from ..standins.platform import PlatformStandin, load_instances, load_values, serve

_HELP = """Run stand-ins for outside systems, for tests, trials and demonstrations.

`gentian-standin platform` serves published values and an instance list, and can go down, go silent
or serve stale content. Control it over HTTP below `/standin`.
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


def main() -> None:
    """Run as a program."""
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
