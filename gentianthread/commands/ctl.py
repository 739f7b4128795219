"""Check, compare and publish declarations, make keys and look into nodes (`gentianctl`)."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from .. import __version__
from ..coordination import operations
from ..errors import BundleError, DeclarationErrors, PlatformUnavailable, PublishedVersionError

EXIT_OK = 0
EXIT_WRONG_CONTENT = 1
EXIT_USAGE = 2
EXIT_RISKY = 3
EXIT_UNAVAILABLE = 4

_HELP = """Check, compare and publish declarations, make keys and look into nodes.

Declarations are a folder of INI files under version control. A revision goes out like this:

1. `gentianctl check FOLDER` lists every error with its file, section and field.
2. `gentianctl diff OLD FOLDER` says what changes and warns of risky steps.
3. `gentianctl bundle FOLDER --version N --out DIR` writes the values to publish.
4. Publish the files below DIR with your platform's own tool, `bundle/head` last. Nodes take the
   version over within 3 s. Versions only go up: to undo a revision, publish the earlier
   declarations with a higher version.

Exit codes: 0 success; 1 wrong declarations or bundle; 2 wrong usage; 3 risky steps (`diff --strict`
only); 4 a node does not answer.

`gentianctl --install-completion` sets up completion for your shell.
"""

app = cyclopts.App(
    name="gentianctl",
    help=_HELP,
    help_format="markdown",
    version=__version__,
    result_action="return_value",
)
app.register_install_completion_command()
key_app = cyclopts.App(name="key", help="Make keys of organisations.")
app.command(key_app)


@app.command
def check(folder: Path) -> int:
    """Print every error of the declarations in a folder.

    Parameters
    ----------
    folder
        Folder with the `*.ini` files.
    """
    errors = operations.check(folder)
    for error in errors:
        print(error)
    print(f"{folder}: {len(errors)} errors" if errors else f"{folder}: no errors")
    return EXIT_WRONG_CONTENT if errors else EXIT_OK


@app.command
def diff(before: Path, after: Path, *, strict: bool = False) -> int:
    """Say what a revision changes and warn of risky steps.

    Parameters
    ----------
    before
        Folder with the declarations or the written bundle that is published now.
    after
        Folder with the revised declarations or bundle.
    strict
        Exit with code 3 if there is a risky step, for checks in a pipeline.
    """
    revision = operations.diff(before, after)
    for change in revision.changes:
        print(change)
    for warning in revision.warnings:
        print(f"warning: {warning}")
    print(f"{len(revision.changes)} changes, {len(revision.warnings)} warnings")
    return EXIT_RISKY if strict and revision.warnings else EXIT_OK


@app.command
def bundle(folder: Path, *, version: Annotated[int, Parameter(name="--version")], out: Path) -> int:
    """Write the values to publish, one file for each key.

    Parameters
    ----------
    folder
        Folder with the declarations.
    version
        Version number, larger than every published one.
    out
        Folder for the files; `bundle/head` is published last.
    """
    if not 1 <= version < 2**63:
        print(f"version {version}: expected a whole number from 1", file=sys.stderr)
        return EXIT_USAGE
    made = operations.write_bundle(folder, version, out)
    size = f"{len(made.payload)} bytes in {made.part_count} parts"
    print(f"version {made.version}, {size}, digest {made.digest.hex()}")
    return EXIT_OK


@key_app.command(name="new")
def new_key(organisation: str) -> int:
    """Make a key and print it once, with the section for the declarations.

    The key goes to the organisation and is stored nowhere; only its salted digest is published. To
    withdraw a key, remove its section and publish.

    Parameters
    ----------
    organisation
        Name of the organisation in the declarations.
    """
    try:
        made = operations.make_key(organisation)
    except ValueError:
        print(f"organisation {organisation!r}: expected a section name", file=sys.stderr)
        return EXIT_USAGE
    print(f"# The key, shown only here:\n{made.key}\n")
    print(f"# Section for the declarations:\n{made.declaration}")
    return EXIT_OK


@app.command
def dump(address: str) -> int:
    """Print the state of a node as JSON.

    Parameters
    ----------
    address
        Host and port of the node's operator listener, such as 127.0.0.1:7003.
    """
    state = asyncio.run(operations.fetch_dump(address))
    print(json.dumps(state, indent=2, sort_keys=True))
    return EXIT_OK


@app.command
def version() -> int:
    """Print the version of the program."""
    print(f"gentianctl {__version__}")
    return EXIT_OK


def run(arguments: list[str] | None = None) -> int:
    """Run one command and return the exit code.

    Args:
        arguments: The arguments; those of the process by default.
    """
    try:
        result = app(arguments, exit_on_error=False)
    except cyclopts.CycloptsError:
        return EXIT_USAGE
    except (DeclarationErrors, BundleError, PublishedVersionError) as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG_CONTENT
    except PlatformUnavailable as error:
        print(error, file=sys.stderr)
        return EXIT_UNAVAILABLE
    return result if isinstance(result, int) else EXIT_OK


def main() -> None:
    """Run as a program."""
    sys.exit(run())


if __name__ == "__main__":
    main()
