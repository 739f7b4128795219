"""Implement the commands of the operators' command line, `gentianctl`."""

import base64
import hashlib
import json
import secrets
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from ..errors import (
    BundleError,
    DeclarationErrors,
    DocumentError,
    FieldError,
    PlatformUnavailable,
    PublishedVersionError,
)
from ..ids import ConfigVersion, RegionId
from ..json_fields import names_used_twice
from ..state.bundle import (
    HEAD_KEY,
    Bundle,
    BundleHead,
    decode_head,
    decode_plan,
    join_parts,
    make_bundle,
    make_published_values,
    part_key,
)
from ..state.declarations import read_folder
from ..state.fleet_plan import FleetPlan
from ..state.fleet_plan_diff import compare_with_force
from ..state.plan import Plan
from ..state.plan_checks import CheckInput, check_plan
from ..state.plan_diff import PlanDiff, compare_plans
from ..state.plan_findings import (
    FieldPaths,
    Finding,
    invalid_document,
    repeated_names,
    sort_findings,
    unreadable_values,
    without_unreadable,
)
from ..state.plan_rules import valid_name

# 32 random bytes make 43 URL-safe characters.
_SECRET_BYTES = 32
_SALT_BYTES = 16
_KEY_ID_BYTES = 5

# The node runs on the same instance, so a dump that takes longer means that the node hangs.
DUMP_TIMEOUT_MS = 5_000


@attrs.frozen
class NewKey:
    """Represent a newly generated API key.

    Attributes:
        key: The key for the caller; it is not stored anywhere.
        declaration: Section for the declarations, which contains only the salted digest.
    """

    key: str = attrs.field(repr=False)
    declaration: str


def check(folder: Path) -> list[FieldError]:
    """Return all errors of the declarations in a folder."""
    try:
        read_folder(folder)
    except DeclarationErrors as errors:
        return errors.errors
    return []


def read_plan(path: Path) -> Plan:
    """Read a plan from a folder of declarations or of a written bundle.

    Raises:
        DeclarationErrors: The declarations have errors.
        BundleError: The bundle is invalid.
    """
    if (path / HEAD_KEY).exists():
        return decode_plan(read_bundle(path))
    return read_folder(path)


def read_bundle(folder: Path) -> Bundle:
    """Read a bundle that `write_bundle` wrote.

    Raises:
        BundleError: The head or a part is missing or invalid.
    """
    head = read_head(folder)
    parts = []
    for number in range(head.part_count):
        file = folder / part_key(head.version, number)
        if not file.exists():
            raise BundleError(head.version, f"part {number}", "missing")
        parts.append(file.read_bytes())
    return join_parts(head, parts)


def read_head(folder: Path) -> BundleHead:
    """Read the head of a written bundle.

    Raises:
        BundleError: The head is missing or invalid.
    """
    file = folder / HEAD_KEY
    if not file.exists():
        raise BundleError(None, "head", f"{file} is missing")
    return decode_head(file.read_bytes())


def diff(before: Path, after: Path) -> PlanDiff:
    """Compare the plans in two folders of declarations or of written bundles.

    Raises:
        DeclarationErrors: The declarations have errors.
        BundleError: A bundle is invalid.
    """
    return compare_plans(read_plan(before), read_plan(after))


def check_config(
    file: Path,
    read: Callable[[bytes], FleetPlan],
    paths: FieldPaths,
    against: Path | None = None,
    regions: Iterable[str] | None = None,
) -> list[Finding]:
    """Check a configuration document of the metadata store.

    Args:
        file: File with the document.
        read: Decodes a document.
        paths: Names of its fields.
        against: File with the document in force, or None.
        regions: Regions of all availability zones, or None if they are not known.

    Returns:
        The findings, the worst first.

    Raises:
        OSError: A file cannot be read.
        DocumentError: The document in force is invalid.
    """
    data = file.read_bytes()
    force = None if against is None else read(against.read_bytes())
    try:
        plan = read(data)
    except DocumentError as error:
        return [invalid_document(error, _json_or_none(data), paths)]
    errors = [
        *unreadable_values(plan, json.loads(data), paths),
        *repeated_names(names_used_twice(data)),
    ]
    known_regions = None if regions is None else frozenset(map(RegionId, regions))
    findings = without_unreadable(check_plan(CheckInput(plan, paths, known_regions)), errors)
    if force is not None:
        findings += compare_with_force(force, plan, paths)
    return sort_findings([*errors, *findings])


def _json_or_none(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None


def describe_findings(findings: Iterable[Finding]) -> list[dict[str, str]]:
    """Return findings as JSON values."""
    return [
        {
            "severity": finding.severity.value,
            "kind": finding.kind.value,
            "field": finding.field,
            "found": finding.found,
            "expected": finding.expected,
        }
        for finding in findings
    ]


def write_bundle(folder: Path, version: int, out: Path) -> Bundle:
    """Write the values to publish as files in a folder, the head last.

    Args:
        folder: Folder with the declarations.
        version: Version of the bundle; larger than the one in `out`, if there is one.
        out: Folder for the files; the key of each value is the path of its file.

    Raises:
        DeclarationErrors: The declarations have errors.
        PublishedVersionError: `out` contains a newer version, or this one with another content.
    """
    bundle = make_bundle(read_folder(folder, ConfigVersion(version)))
    if (out / HEAD_KEY).exists():
        published_head = read_head(out)
        if published_head.version > version or (
            published_head.version == version and published_head != bundle.head
        ):
            raise PublishedVersionError(version, published_head.version)
    for key, value in make_published_values(bundle).items():
        file = out / key
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_bytes(value)
    return bundle


def make_key(organisation: str) -> NewKey:
    """Generate an API key for an organisation.

    Raises:
        ValueError: The name of the organisation is not a valid section name.
    """
    if not valid_name(organisation):
        raise ValueError(organisation)
    key_id = f"k{secrets.token_hex(_KEY_ID_BYTES)}"
    secret = base64.urlsafe_b64encode(secrets.token_bytes(_SECRET_BYTES)).rstrip(b"=").decode()
    key = f"gtk_{key_id}_{secret}"
    salt = secrets.token_bytes(_SALT_BYTES)
    digest = hashlib.sha256(salt + key.encode()).hexdigest()
    lines = [f"[key {key_id}]", f"organisation = {organisation}", f"digest = {salt.hex()}:{digest}"]
    return NewKey(key, "\n".join(lines))


async def fetch_dump(address: str) -> dict:
    """Fetch the state dump of a node.

    Args:
        address: Host and port of the operator listener of the node.

    Raises:
        PlatformUnavailable: The node doesn't answer in time, or its answer is not a dump.
    """
    timeout = aiohttp.ClientTimeout(total=DUMP_TIMEOUT_MS / 1000)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/dump") as response,
        ):
            if response.status != 200:
                raise PlatformUnavailable("dump", f"status {response.status}")
            return json.loads(await response.read())
    except (aiohttp.ClientError, TimeoutError, ValueError, RecursionError) as error:
        raise PlatformUnavailable("dump", f"{type(error).__name__}: {error}") from error
