"""Read the declarations of operators, a folder of INI files, into a plan."""

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

KINDS = ("availability-zone", "key", "link", *(kind for kind in SECTIONS if kind != "key"))

# Default fractions are rounded down to this many digits, so that their sum cannot exceed 1.
_FRACTION_DIGITS = 12

_HEADER = re.compile(r"^\[(.*)\]\s*$")
# A line that is neither empty, a comment nor a field with a name.
_BARE = re.compile(r"^(?![#;])(?:\S[^=]*$|=)|^\[")
_OPTION = re.compile(r"^([^\s#;=\[][^=]*?)\s*=")


@attrs.define
class _Section:
    file: str
    title: str
    kind: str
    name: str
    values: dict[str, str]


@attrs.define
class _Reader:
    errors: list[FieldError] = attrs.field(factory=list)
    wrong: set[tuple[str, str, str]] = attrs.field(factory=set)

    def report(self, section: _Section, field: str, found: str | None, expected: str) -> None:
        place = (section.kind, section.name, field)
        if place not in self.wrong:
            self.errors.append(FieldError(section.file, section.title, field, found, expected))
            self.wrong.add(place)


def read_folder(folder: Path, version: int = 0) -> Plan:
    """Read the declarations of a folder.

    Args:
        folder: Folder that holds `*.ini` files.
        version: Version that the plan gets.

    Returns:
        The plan.

    Raises:
        DeclarationErrors: The declarations have errors; it lists all of them.
    """
    texts = {path.name: _read_text(path) for path in sorted(folder.glob("*.ini"))}
    if not texts:
        raise DeclarationErrors([FieldError(str(folder), "", "file", None, "files named *.ini")])
    return read_texts(texts, version)


def read_texts(texts: Mapping[str, str], version: int = 0) -> Plan:
    """Read declarations from texts.

    Args:
        texts: Contents of the files by file name.
        version: Version that the plan gets.

    Raises:
        DeclarationErrors: The declarations have errors; it lists all of them.
    """
    reader = _Reader()
    sections = _split_sections(texts, reader)
    plan = _build_plan(sections, reader, version)
    _report_problems(find_problems(plan), sections, reader)
    if reader.errors:
        order = {name: place for place, name in enumerate(texts)}
        raise DeclarationErrors(
            sorted(reader.errors, key=lambda error: (order[error.file], error.section))
        )
    return plan


def share_by_slots(
    upstreams: Iterable[Upstream], chosen: Mapping[UpstreamId, float]
) -> dict[UpstreamId, float]:
    """Return the fraction of every upstream.

    What the chosen fractions leave is shared by slots between the other upstreams. Draining
    upstreams get no default share: their nodes may be stopped, and a share nobody uses is lost.

    Args:
        upstreams: All upstreams.
        chosen: Fractions that the declarations set.
    """
    rest = [upstream for upstream in upstreams if upstream.upstream_id not in chosen]
    serving = [upstream for upstream in rest if not upstream.draining]
    left = max(0.0, 1.0 - math.fsum(chosen.values()))
    slots = sum(upstream.slots for upstream in serving)
    fractions = {**chosen, **{upstream.upstream_id: 0.0 for upstream in rest}}
    scale = 10**_FRACTION_DIGITS
    for upstream in serving:
        share = left * upstream.slots / max(1, slots)
        fractions[upstream.upstream_id] = math.floor(share * scale) / scale
    return {name: fractions[name] for name in sorted(fractions)}


def _read_text(path: Path) -> str:
    return path.read_text(encoding="utf-8", errors="replace")


def _split_sections(texts: Mapping[str, str], reader: _Reader) -> list[_Section]:
    sections: dict[tuple[str, str], _Section] = {}
    for file, text in texts.items():
        _report_double_options(file, text, reader)
        for title, values in _parse(file, text, reader):
            section = _make_section(file, title, values, reader)
            if section is None:
                continue
            known = sections.setdefault((section.kind, section.name), section)
            if known is not section:
                expected = f"a name that is used once; {known.file} has it too"
                reader.errors.append(FieldError(file, title, "name", section.name, expected))
    return list(sections.values())


def _parse(file: str, text: str, reader: _Reader) -> list[tuple[str, dict[str, str]]]:
    """Return the sections of one file; each is parsed by itself so that doubles stay visible."""
    return [
        (title, _parse_section(file, title, lines, reader))
        for title, lines in _cut(file, text, reader)
    ]


def _parse_section(file: str, title: str, lines: list[str], reader: _Reader) -> dict[str, str]:
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        delimiters=("=",),
        default_section="",
        empty_lines_in_values=False,
    )
    # A wrong line is left out, so that its section stays known to those that refer to it. No field
    # has several lines, so indentation has no meaning.
    kept = []
    for line in (line.strip() for line in lines):
        if _BARE.match(line):
            expected = "lines of the form name = value"
            reader.errors.append(FieldError(file, title, "", line, expected))
        else:
            kept.append(line)
    parser.read_string("[section]\n" + "\n".join(kept))
    return dict(parser["section"])


def _cut(file: str, text: str, reader: _Reader) -> list[tuple[str, list[str]]]:
    parts: list[tuple[str, list[str]]] = []
    for line in text.splitlines():
        header = _HEADER.match(line)
        if header:
            parts.append((header[1].strip(), []))
        elif parts:
            parts[-1][1].append(line)
        elif line.strip() and line.strip()[0] not in "#;":
            reader.errors.append(FieldError(file, "", "", line.strip(), "a section before fields"))
    return parts


def _report_double_options(file: str, text: str, reader: _Reader) -> None:
    title, seen = "", set()
    for line in text.splitlines():
        header, option = _HEADER.match(line), _OPTION.match(line.strip())
        if header:
            title, seen = header[1].strip(), set()
        elif option and option[1].lower() in seen:
            expected = "a field that is set once in its section"
            reader.errors.append(FieldError(file, title, option[1], line.strip(), expected))
        elif option:
            seen.add(option[1].lower())


def _make_section(
    file: str, title: str, values: dict[str, str], reader: _Reader
) -> _Section | None:
    words = title.split()
    expected_words = 3 if words[:1] == ["link"] else 2
    if not words or words[0] not in KINDS:
        kinds = ", ".join(sorted(KINDS))
        reader.errors.append(FieldError(file, title, "", title, f"a section of the kind {kinds}"))
        return None
    if len(words) != expected_words:
        form = "[link ZONE ZONE]" if words[0] == "link" else f"[{words[0]} NAME]"
        reader.errors.append(FieldError(file, title, "", title, f"the form {form}"))
        return None
    return _Section(file, title, words[0], " ".join(words[1:]), values)


def _build_plan(sections: list[_Section], reader: _Reader, version: int) -> Plan:
    by_kind: dict[str, list[_Section]] = {kind: [] for kind in KINDS}
    for section in sections:
        by_kind[section.kind].append(section)
    profiles = {s.name: _make_profile(s, reader) for s in by_kind["profile"]}
    services = _make_items("service", by_kind, reader)
    for service in services.values():
        if service.profile_id in built_in_profiles:
            profiles.setdefault(service.profile_id, built_in(service.profile_id))
    upstreams = _make_items("upstream", by_kind, reader)
    return Plan(
        version=ConfigVersion(version),
        availability_zones=tuple(sorted(_make_zones(by_kind["availability-zone"], reader))),
        links=tuple(sorted((_make_link(s, reader) for s in by_kind["link"]), key=link_name)),
        profiles={name: profiles[name] for name in sorted(profiles)},
        services=services,
        routes=_make_routes(by_kind, services, profiles, reader),
        upstreams=upstreams,
        organisations=_make_items("organisation", by_kind, reader),
        keys={s.name: _make_key(s, reader) for s in _sorted(by_kind["key"])},
        fractions=share_by_slots(upstreams.values(), _read_fractions(by_kind["upstream"], reader)),
    )


def _sorted(sections: list[_Section]) -> list[_Section]:
    return sorted(sections, key=lambda section: section.name)


def _make_items(kind: str, by_kind: dict[str, list[_Section]], reader: _Reader) -> dict:
    rule = SECTIONS[kind]
    extra = ("fraction",) if kind == "upstream" else ()
    items = {}
    for section in _sorted(by_kind[kind]):
        values = _read_fields(section, rule.fields, reader, extra)
        items[section.name] = rule.cls(**{rule.id_attribute: section.name}, **values)
    return items


def _make_profile(section: _Section, reader: _Reader) -> Profile:
    values = _read_fields(section, SECTIONS["profile"].fields, reader, ("based_on",))
    if section.name in built_in_profiles:
        reader.report(section, "name", section.name, "a name that no built-in profile has")
    base = section.values.get("based_on", "lookup")
    if base not in built_in_profiles:
        expected = f"the name of a built-in profile: {', '.join(built_in_profiles.names())}"
        reader.report(section, "based_on", base, expected)
        base = "lookup"
    return attrs.evolve(built_in(base), profile_id=ProfileId(section.name), **values)


def _make_routes(by_kind, services: Mapping, profiles: Mapping, reader: _Reader) -> dict:
    rule = SECTIONS["route"]
    routes = []
    for section in by_kind["route"]:
        # The deadline of a route that sets none is the one of its service's profile.
        fields = {**rule.fields, "deadline": attrs.evolve(rule.fields["deadline"], required=False)}
        values = {"open_to_all": False, **_read_fields(section, fields, reader)}
        if "deadline_ms" not in values:
            service = services.get(values["service_id"])
            profile = profiles.get(service.profile_id) if service else None
            values["deadline_ms"] = (profile or built_in("lookup")).deadline_ms
        routes.append(Route(route_id=section.name, **values))
    return order_routes(routes)


def _make_zones(sections: list[_Section], reader: _Reader) -> list[AvailabilityZoneId]:
    for section in sections:
        _read_fields(section, {}, reader)
    return [AvailabilityZoneId(section.name) for section in sections]


def _make_link(section: _Section, reader: _Reader) -> Link:
    values = _read_fields(section, {"delay": LINK_DELAY}, reader)
    first, second = section.name.split()
    return Link(AvailabilityZoneId(first), AvailabilityZoneId(second), values["delay_ms"])


def _make_key(section: _Section, reader: _Reader) -> Key:
    values = _read_fields(section, SECTIONS["key"].fields, reader, ("digest",))
    text = section.values.get("digest")
    try:
        salt, digest = parse_digest(text or "")
    except ValueError:
        reader.report(section, "digest", text, KEY_DIGEST_EXPECTED)
        salt, digest = bytes(4), bytes(32)
    return Key(key_id=section.name, salt=salt, digest=digest, **values)


def _read_fractions(sections: list[_Section], reader: _Reader) -> dict[UpstreamId, float]:
    chosen = {}
    for section in sections:
        if "fraction" in section.values:
            chosen[UpstreamId(section.name)] = _read_value(section, "fraction", FRACTION, reader)
    return chosen


def _read_fields(
    section: _Section,
    fields: Mapping[str, FieldRule],
    reader: _Reader,
    extra: tuple[str, ...] = (),
) -> dict[str, Any]:
    for field, text in section.values.items():
        if field not in fields and field not in extra:
            known = ", ".join(sorted((*fields, *extra))) or "no fields"
            reader.report(section, field, text, f"one of the fields of this section: {known}")
    values = {}
    for field, rule in fields.items():
        if field in section.values:
            values[rule.attribute] = _read_value(section, field, rule, reader)
        elif rule.required:
            reader.report(section, field, None, rule.expected)
            values[rule.attribute] = rule.placeholder
    return values


def _read_value(section: _Section, field: str, rule: FieldRule, reader: _Reader) -> Any:
    try:
        return rule.parse(section.values[field])
    except (ValueError, KeyError):
        reader.report(section, field, section.values[field], rule.expected)
        return rule.placeholder


def _report_problems(problems: list[Problem], sections: list[_Section], reader: _Reader) -> None:
    by_name = {(section.kind, section.name): section for section in sections}
    for problem in problems:
        section = by_name.get((problem.kind, problem.name))
        if section is not None:
            found = section.values.get(problem.field, problem.found)
            reader.report(section, problem.field, found, problem.expected)
