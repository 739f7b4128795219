"""Parse the declarations of operators, a folder of INI files, into a plan."""

import configparser
import math
import re
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs

from ..errors import DeclarationErrors, FieldError
from ..ids import AvailabilityZoneId, ConfigVersion, ProfileId, UpstreamId
from .plan import Key, Link, Plan, Profile, Route, Upstream
from .plan_rules import (
    FRACTION,
    KEY_DIGEST_EXPECTED,
    LINK_DELAY,
    SECTIONS,
    FieldRule,
    Problem,
    find_problems,
    link_name,
    order_routes,
    parse_digest,
)
from .profiles import built_in, built_in_profiles

SECTION_KINDS = ("availability-zone", "key", "link", *(kind for kind in SECTIONS if kind != "key"))

# Default fractions are rounded down to this many digits, so that their sum cannot exceed 1.
_FRACTION_DIGITS = 12

_SECTION_HEADER = re.compile(r"^\[(.*)\]\s*$")
# Matches a line that is neither empty, a comment nor a field with a name.
_MALFORMED_LINE = re.compile(r"^(?![#;])(?:\S[^=]*$|=)|^\[")
_FIELD = re.compile(r"^([^\s#;=\[][^=]*?)\s*=")


@attrs.define
class _Section:
    """Store the fields of one section as texts; its title consists of the kind and the name."""

    file: str
    title: str
    kind: str
    name: str
    values: dict[str, str]


@attrs.define
class _ErrorCollector:
    """Collect errors, at most one for each field."""

    errors: list[FieldError] = attrs.field(factory=list)
    reported: set[tuple[str, str, str]] = attrs.field(factory=set)

    def report(self, section: _Section, field: str, found: str | None, expected: str) -> None:
        key = (section.kind, section.name, field)
        if key not in self.reported:
            self.errors.append(FieldError(section.file, section.title, field, found, expected))
            self.reported.add(key)


def read_folder(folder: Path, version: int = 0) -> Plan:
    """Parse the declarations of a folder.

    Args:
        folder: Folder that contains `*.ini` files.
        version: Version of the plan.

    Returns:
        The plan.

    Raises:
        DeclarationErrors: The declarations are invalid; it lists all errors.
    """
    texts = {path.name: _read_text(path) for path in sorted(folder.glob("*.ini"))}
    if not texts:
        raise DeclarationErrors([FieldError(str(folder), "", "file", None, "files named *.ini")])
    return read_texts(texts, version)


def read_texts(texts: Mapping[str, str], version: int = 0) -> Plan:
    """Parse the declarations of several texts.

    Args:
        texts: Contents of the files by file name.
        version: Version of the plan.

    Raises:
        DeclarationErrors: The declarations are invalid; it lists all errors.
    """
    collector = _ErrorCollector()
    sections = _split_sections(texts, collector)
    plan = _build_plan(sections, collector, version)
    _report_problems(find_problems(plan), sections, collector)
    if collector.errors:
        order = {name: index for index, name in enumerate(texts)}
        raise DeclarationErrors(
            sorted(collector.errors, key=lambda error: (order[error.file], error.section))
        )
    return plan


def compute_fractions(
    upstreams: Iterable[Upstream], declared: Mapping[UpstreamId, float]
) -> dict[UpstreamId, float]:
    """Return the fraction of every upstream.

    The remainder of the declared fractions is divided between the other upstreams in proportion to
    their slots. Draining upstreams get no default fraction: their nodes may be stopped, and the
    fraction of a stopped node is lost.

    Args:
        upstreams: All upstreams.
        declared: Fractions that the declarations set.
    """
    others = [upstream for upstream in upstreams if upstream.upstream_id not in declared]
    serving = [upstream for upstream in others if not upstream.draining]
    remainder = max(0.0, 1.0 - math.fsum(declared.values()))
    slots = sum(upstream.slots for upstream in serving)
    fractions = {**declared, **{upstream.upstream_id: 0.0 for upstream in others}}
    scale = 10**_FRACTION_DIGITS
    for upstream in serving:
        share = remainder * upstream.slots / max(1, slots)
        fractions[upstream.upstream_id] = math.floor(share * scale) / scale
    return {name: fractions[name] for name in sorted(fractions)}


def _read_text(path: Path) -> str:
    return path.read_text(encoding="utf-8", errors="replace")


def _split_sections(texts: Mapping[str, str], collector: _ErrorCollector) -> list[_Section]:
    sections: dict[tuple[str, str], _Section] = {}
    for file, text in texts.items():
        _report_duplicate_fields(file, text, collector)
        for title, values in _parse_file(file, text, collector):
            section = _make_section(file, title, values, collector)
            if section is None:
                continue
            known = sections.setdefault((section.kind, section.name), section)
            if known is not section:
                expected = f"a name that is used once; {known.file} has it too"
                collector.errors.append(FieldError(file, title, "name", section.name, expected))
    return list(sections.values())


def _parse_file(
    file: str, text: str, collector: _ErrorCollector
) -> list[tuple[str, dict[str, str]]]:
    """Return the sections of one file; each is parsed separately, to detect duplicate sections."""
    return [
        (title, _parse_section(file, title, lines, collector))
        for title, lines in _split_lines(file, text, collector)
    ]


def _parse_section(
    file: str, title: str, lines: list[str], collector: _ErrorCollector
) -> dict[str, str]:
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        delimiters=("=",),
        default_section="",
        empty_lines_in_values=False,
    )
    # Only the invalid lines are skipped, so that references to the section still resolve. Fields
    # never span several lines, so indentation is ignored.
    valid_lines = []
    for line in (line.strip() for line in lines):
        if _MALFORMED_LINE.match(line):
            expected = "lines of the form name = value"
            collector.errors.append(FieldError(file, title, "", line, expected))
        else:
            valid_lines.append(line)
    parser.read_string("[section]\n" + "\n".join(valid_lines))
    return dict(parser["section"])


def _split_lines(file: str, text: str, collector: _ErrorCollector) -> list[tuple[str, list[str]]]:
    """Return the title and the lines of each section of a file."""
    sections: list[tuple[str, list[str]]] = []
    for line in text.splitlines():
        header = _SECTION_HEADER.match(line)
        if header:
            sections.append((header[1].strip(), []))
        elif sections:
            sections[-1][1].append(line)
        elif line.strip() and line.strip()[0] not in "#;":
            collector.errors.append(
                FieldError(file, "", "", line.strip(), "a section before fields")
            )
    return sections


def _report_duplicate_fields(file: str, text: str, collector: _ErrorCollector) -> None:
    title, seen = "", set()
    for line in text.splitlines():
        header, field = _SECTION_HEADER.match(line), _FIELD.match(line.strip())
        if header:
            title, seen = header[1].strip(), set()
        elif field and field[1].lower() in seen:
            expected = "a field that is set once in its section"
            collector.errors.append(FieldError(file, title, field[1], line.strip(), expected))
        elif field:
            seen.add(field[1].lower())


def _make_section(
    file: str, title: str, values: dict[str, str], collector: _ErrorCollector
) -> _Section | None:
    words = title.split()
    expected_words = 3 if words[:1] == ["link"] else 2
    if not words or words[0] not in SECTION_KINDS:
        kinds = ", ".join(sorted(SECTION_KINDS))
        collector.errors.append(
            FieldError(file, title, "", title, f"a section of the kind {kinds}")
        )
        return None
    if len(words) != expected_words:
        form = "[link ZONE ZONE]" if words[0] == "link" else f"[{words[0]} NAME]"
        collector.errors.append(FieldError(file, title, "", title, f"the form {form}"))
        return None
    return _Section(file, title, words[0], " ".join(words[1:]), values)


def _build_plan(sections: list[_Section], collector: _ErrorCollector, version: int) -> Plan:
    sections_by_kind: dict[str, list[_Section]] = {kind: [] for kind in SECTION_KINDS}
    for section in sections:
        sections_by_kind[section.kind].append(section)
    profiles = {s.name: _make_profile(s, collector) for s in sections_by_kind["profile"]}
    services = _make_items("service", sections_by_kind, collector)
    for service in services.values():
        if service.profile_id in built_in_profiles:
            profiles.setdefault(service.profile_id, built_in(service.profile_id))
    upstreams = _make_items("upstream", sections_by_kind, collector)
    return Plan(
        version=ConfigVersion(version),
        availability_zones=tuple(
            sorted(_make_zones(sections_by_kind["availability-zone"], collector))
        ),
        links=tuple(
            sorted((_make_link(s, collector) for s in sections_by_kind["link"]), key=link_name)
        ),
        profiles={name: profiles[name] for name in sorted(profiles)},
        services=services,
        routes=_make_routes(sections_by_kind, services, profiles, collector),
        upstreams=upstreams,
        organisations=_make_items("organisation", sections_by_kind, collector),
        keys={s.name: _make_key(s, collector) for s in _sort_by_name(sections_by_kind["key"])},
        fractions=compute_fractions(
            upstreams.values(), _read_fractions(sections_by_kind["upstream"], collector)
        ),
    )


def _sort_by_name(sections: list[_Section]) -> list[_Section]:
    return sorted(sections, key=lambda section: section.name)


def _make_items(
    kind: str, sections_by_kind: dict[str, list[_Section]], collector: _ErrorCollector
) -> dict:
    rule = SECTIONS[kind]
    extra = ("fraction",) if kind == "upstream" else ()
    items = {}
    for section in _sort_by_name(sections_by_kind[kind]):
        values = _read_fields(section, rule.fields, collector, extra)
        items[section.name] = rule.cls(**{rule.id_attribute: section.name}, **values)
    return items


def _make_profile(section: _Section, collector: _ErrorCollector) -> Profile:
    values = _read_fields(section, SECTIONS["profile"].fields, collector, ("based_on",))
    if section.name in built_in_profiles:
        collector.report(section, "name", section.name, "a name that no built-in profile has")
    base = section.values.get("based_on", "lookup")
    if base not in built_in_profiles:
        expected = f"the name of a built-in profile: {', '.join(built_in_profiles.names())}"
        collector.report(section, "based_on", base, expected)
        base = "lookup"
    return attrs.evolve(built_in(base), profile_id=ProfileId(section.name), **values)


def _make_routes(
    sections_by_kind, services: Mapping, profiles: Mapping, collector: _ErrorCollector
) -> dict:
    rule = SECTIONS["route"]
    routes = []
    for section in sections_by_kind["route"]:
        # A route without a deadline uses the default of its service's profile.
        fields = {**rule.fields, "deadline": attrs.evolve(rule.fields["deadline"], required=False)}
        values = {"open_to_all": False, **_read_fields(section, fields, collector)}
        if "deadline_ms" not in values:
            service = services.get(values["service_id"])
            profile = profiles.get(service.profile_id) if service else None
            values["deadline_ms"] = (profile or built_in("lookup")).deadline_ms
        routes.append(Route(route_id=section.name, **values))
    return order_routes(routes)


def _make_zones(sections: list[_Section], collector: _ErrorCollector) -> list[AvailabilityZoneId]:
    for section in sections:
        _read_fields(section, {}, collector)
    return [AvailabilityZoneId(section.name) for section in sections]


def _make_link(section: _Section, collector: _ErrorCollector) -> Link:
    values = _read_fields(section, {"delay": LINK_DELAY}, collector)
    first, second = section.name.split()
    return Link(AvailabilityZoneId(first), AvailabilityZoneId(second), values["delay_ms"])


def _make_key(section: _Section, collector: _ErrorCollector) -> Key:
    values = _read_fields(section, SECTIONS["key"].fields, collector, ("digest",))
    text = section.values.get("digest")
    try:
        salt, digest = parse_digest(text or "")
    except ValueError:
        collector.report(section, "digest", text, KEY_DIGEST_EXPECTED)
        salt, digest = bytes(4), bytes(32)
    return Key(key_id=section.name, salt=salt, digest=digest, **values)


def _read_fractions(
    sections: list[_Section], collector: _ErrorCollector
) -> dict[UpstreamId, float]:
    fractions = {}
    for section in sections:
        if "fraction" in section.values:
            fractions[UpstreamId(section.name)] = _read_value(
                section, "fraction", FRACTION, collector
            )
    return fractions


def _read_fields(
    section: _Section,
    fields: Mapping[str, FieldRule],
    collector: _ErrorCollector,
    extra: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Return the values of a section's fields by attribute, and report invalid fields.

    Args:
        section: The section.
        fields: Rules of its fields.
        collector: Collects the errors.
        extra: Names of further fields that the caller reads.
    """
    for field, text in section.values.items():
        if field not in fields and field not in extra:
            known = ", ".join(sorted((*fields, *extra))) or "no fields"
            collector.report(section, field, text, f"one of the fields of this section: {known}")
    values = {}
    for field, rule in fields.items():
        if field in section.values:
            values[rule.attribute] = _read_value(section, field, rule, collector)
        elif rule.required:
            collector.report(section, field, None, rule.expected)
            values[rule.attribute] = rule.placeholder
    return values


def _read_value(section: _Section, field: str, rule: FieldRule, collector: _ErrorCollector) -> Any:
    try:
        return rule.parse(section.values[field])
    except (ValueError, KeyError):
        collector.report(section, field, section.values[field], rule.expected)
        return rule.placeholder


def _report_problems(
    problems: list[Problem], sections: list[_Section], collector: _ErrorCollector
) -> None:
    by_name = {(section.kind, section.name): section for section in sections}
    for problem in problems:
        section = by_name.get((problem.kind, problem.name))
        if section is not None:
            found = section.values.get(problem.field, problem.found)
            collector.report(section, problem.field, found, problem.expected)
