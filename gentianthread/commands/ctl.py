"""Validate, compare and bundle declarations, create keys and inspect nodes (`gentianctl`)."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from .. import __version__
from ..coordination import operations
from ..errors import (
    BundleError,
    DeclarationErrors,
    DocumentError,
    PlatformUnavailable,
    PublishedVersionError,
)
from ..platform.plan_document import FIELD_NAMES, read_plan
from ..state.plan_findings import FieldPaths, Severity

EXIT_OK = 0
EXIT_WRONG_CONTENT = 1
EXIT_USAGE = 2
EXIT_RISKY = 3
EXIT_UNAVAILABLE = 4

# Codes of `check-config`; both stop a pipeline, like the codes of the same numbers above.
EXIT_WARNINGS = 1
EXIT_ERRORS = 2

_HELP = """Validate, compare and bundle declarations, create keys and inspect nodes.

Declarations are a folder of INI files under version control. To publish a revision:

1. `gentianctl check FOLDER` lists every error with its file, section and field.
2. `gentianctl diff OLD FOLDER` lists the changes and warns of risky ones.
3. `gentianctl bundle FOLDER --version N --out DIR` writes the values to publish.
4. Publish the files below DIR with your platform's own tool, `bundle/head` last. Nodes apply the
   version within 3 s. Version numbers must increase: to roll back a revision, publish the earlier
   declarations with a higher version.

Exit codes: 0 success; 1 invalid declarations or bundle; 2 usage error; 3 risky changes
(`diff --strict` only); 4 a node does not answer. `check-config` exits with 1 for
warnings and 2 for errors.

`gentianctl check-config FILE` checks the JSON document that sidecars read.

`gentianctl --install-completion` installs completion for your shell.
"""

app = cyclopts.App(
    name="gentianctl",
    help=_HELP,
    help_format="markdown",
    version=__version__,
    result_action="return_value",
)
app.register_install_completion_command()
key_app = cyclopts.App(name="key", help="Create API keys for organisations.")
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
    """List the changes of a revision and warn of risky ones.

    Parameters
    ----------
    before
        Folder with the currently published declarations or bundle.
    after
        Folder with the revised declarations or bundle.
    strict
        Exit with code 3 if a change is risky, for use in pipelines.
    """
    revision = operations.diff(before, after)
    for change in revision.changes:
        print(change)
    for warning in revision.warnings:
        print(f"warning: {warning}")
    print(f"{len(revision.changes)} changes, {len(revision.warnings)} warnings")
    return EXIT_RISKY if strict and revision.warnings else EXIT_OK


@app.command(name="check-config")
def check_config(
    file: Path,
    *,
    against: Path | None = None,
    regions: str | None = None,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> int:
    """Check a configuration of sidecars before it is written to the metadata store.

    Prints one line for each finding, the worst first. Exits with code 0 if there are none or only
    notices, 1 if there are warnings and 2 if there are errors or a file cannot be read.

    Parameters
    ----------
    file
        The JSON document.
    against
        The document in force; the differences and the risky steps are reported too.
    regions
        Regions of all availability zones, with commas between, as the nodes' settings name them.
    as_json
        Print JSON.
    """
    known_regions = None if regions is None else [name.strip() for name in regions.split(",")]
    try:
        findings = operations.check_config(
            file, read_plan, FieldPaths(FIELD_NAMES), against, known_regions
        )
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_ERRORS
    except DocumentError as error:
        print(f"{against}: {error}", file=sys.stderr)
        return EXIT_ERRORS
    counts = {level: sum(each.severity is level for each in findings) for level in Severity}
    if as_json:
        print(json.dumps(operations.describe_findings(findings), indent=2))
    else:
        for finding in findings:
            print(finding)
        summary = ", ".join(f"{count} {level.value}s" for level, count in counts.items())
        print(f"{file}: {summary}")
    if counts[Severity.ERROR]:
        return EXIT_ERRORS
    return EXIT_WARNINGS if counts[Severity.WARNING] else EXIT_OK


@app.command
def bundle(folder: Path, *, version: Annotated[int, Parameter(name="--version")], out: Path) -> int:
    """Write the values to publish, one file per key of the configuration service.

    Parameters
    ----------
    folder
        Folder with the declarations.
    version
        Version number, higher than every published one.
    out
        Output folder; publish its file `bundle/head` last.
    """
    if not 1 <= version < 2**63:
        print(f"version {version}: expected a whole number from 1", file=sys.stderr)
        return EXIT_USAGE
    written = operations.write_bundle(folder, version, out)
    size = f"{len(written.payload)} bytes in {written.part_count} parts"
    print(f"version {written.version}, {size}, digest {written.digest.hex()}")
    return EXIT_OK


@key_app.command(name="new")
def new_key(organisation: str) -> int:
    """Create a key and print it once, with its section for the declarations.

    Give the key to the organisation. It is not stored; only its salted digest is published. To
    withdraw a key, remove its section and publish.

    Parameters
    ----------
    organisation
        Name of the organisation in the declarations.
    """
    try:
        created = operations.make_key(organisation)
    except ValueError:
        print(f"organisation {organisation!r}: expected a section name", file=sys.stderr)
        return EXIT_USAGE
    print(f"# The key, shown only here:\n{created.key}\n")
    print(f"# Section for the declarations:\n{created.declaration}")
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
    """Run a command and return the exit code.

    Args:
        arguments: Command-line arguments; those of the process by default.
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
    """Run the command line and exit with its code."""
    sys.exit(run())


if __name__ == "__main__":
    main()
