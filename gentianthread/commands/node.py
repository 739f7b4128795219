"""Run a node process (`gentian-node`)."""

import sys
from pathlib import Path

import cyclopts

from .. import __version__
from ..coordination.process import ExitCode, run_node
from ..errors import DeclarationErrors
from ..settings import read_settings

_HELP = """Run the node beside one target.

SIGTERM or SIGINT stops it gracefully: it refuses new requests and completes running ones. A second
signal terminates it as soon as the grace period has passed. SIGUSR1 prints the state dump.

Exit codes: 0 stopped without aborting requests; 1 terminated with requests in flight; 2 invalid
settings or bundle; 3 a listener could not be opened.
"""

app = cyclopts.App(
    name="gentian-node",
    help=_HELP,
    help_format="markdown",
    version=__version__,
    result_action="return_value",
)


@app.default
def node(settings: Path) -> int:
    """Run the node beside one target.

    Parameters
    ----------
    settings
        INI file with the settings of the process.
    """
    try:
        validated_settings = read_settings(settings)
    except DeclarationErrors as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    return run_node(validated_settings)


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
