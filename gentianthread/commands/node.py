"""Run one node (`gentian-node`)."""

import sys
from pathlib import Path

import cyclopts

from .. import __version__
from ..coordination.process import ExitCode, run_node
from ..errors import DeclarationErrors
from ..settings import read_settings

_HELP = """Run the node beside one target.

SIGTERM or SIGINT stops it gracefully: new requests are refused, running ones finish. A second
signal ends it once the grace period is over. SIGUSR1 prints the state dump.

Exit codes: 0 stopped and no request was cut off; 1 ended with requests in flight; 2 wrong settings
or bundle; 3 a listener could not be opened.
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
        INI file with the settings of this process.
    """
    try:
        checked = read_settings(settings)
    except DeclarationErrors as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    return run_node(checked)


def main() -> None:
    """Run as a program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
