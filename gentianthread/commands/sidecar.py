"""Run a sidecar beside a target on the users' platform (`gentian-sidecar`).

The arguments are parsed without a library: the platform charges for the memory and startup time of
each process, and the library of the other commands takes 6 MB and 70 ms.
"""

import sys
from pathlib import Path

from .. import __version__
from .. import platform as _platform  # noqa: F401  # Registers the adapter.
from ..coordination.mesh.process import SidecarExitCode, run_sidecar

USAGE = """usage: gentian-sidecar SETTINGS

Run the sidecar beside one target. SETTINGS is an INI file; docs/OPERATIONS.md lists its fields.

SIGTERM or SIGINT stops it gracefully, SIGHUP reloads the settings, SIGUSR1 prints the state dump.

Exit codes: 0 stopped without aborting requests; 1 terminated with requests in flight; 2 invalid
settings or command line; 3 a listener could not be opened.
"""


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code.

    Args:
        arguments: Command-line arguments without the program name; those of the process by default.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    if argv in (["--help"], ["-h"]):
        print(USAGE, end="")
        return SidecarExitCode.STOPPED
    if argv == ["--version"]:
        print(__version__)
        return SidecarExitCode.STOPPED
    if len(argv) != 1 or argv[0].startswith("-"):
        print(USAGE, end="", file=sys.stderr)
        return SidecarExitCode.INVALID_SETTINGS
    return run_sidecar(Path(argv[0]))


if __name__ == "__main__":
    sys.exit(main())
