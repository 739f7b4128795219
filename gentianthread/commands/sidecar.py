"""Run one sidecar beside a target on the users' platform (`gentian-sidecar`).

The command line is read without a library: the platform prices the memory and the start of each
process, and the library of the other commands takes 6 MB and 70 ms.
"""

import sys
from pathlib import Path

from .. import __version__
from .. import platform as _platform  # noqa: F401  # Registers its adapter.
from ..coordination.mesh.process import SidecarExitCode, run_sidecar

USAGE = """usage: gentian-sidecar SETTINGS

Run the sidecar beside one target. SETTINGS is an INI file; docs/OPERATIONS.md lists its fields.

SIGTERM or SIGINT stops it gracefully, SIGHUP reads the settings again, SIGUSR1 prints the state.

Exit codes: 0 stopped and no request was cut off; 1 ended with requests under way; 2 wrong settings
or command line; 3 a listener could not be opened.
"""


def main(arguments: list[str] | None = None) -> int:
    """Run as a program.

    Args:
        arguments: Words after the program's name; those of the process by default.
    """
    words = sys.argv[1:] if arguments is None else arguments
    if words in (["--help"], ["-h"]):
        print(USAGE, end="")
        return SidecarExitCode.STOPPED
    if words == ["--version"]:
        print(__version__)
        return SidecarExitCode.STOPPED
    if len(words) != 1 or words[0].startswith("-"):
        print(USAGE, end="", file=sys.stderr)
        return SidecarExitCode.INVALID_SETTINGS
    return run_sidecar(Path(words[0]))


if __name__ == "__main__":
    sys.exit(main())
