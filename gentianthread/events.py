"""Define the catalogue of numbered log events.

Numbers are never reused. `docs/log-events.md` documents every event for operators; a test checks
that the page matches the catalogue.
"""

from enum import Enum

import attrs


class Level(Enum):
    """Define the severity levels of log events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class Event:
    """Define a type of log event.

    Attributes:
        number: Unique number; each subsystem has its own hundred.
        level: Severity.
        text: Format string over the fields of the event.
    """

    number: int
    level: Level
    text: str


_catalogue: dict[int, Event] = {}


def _event(number: int, level: Level, text: str) -> Event:
    if number in _catalogue:
        raise ValueError(f"log event {number} is defined twice")
    _catalogue[number] = Event(number, level, text)
    return _catalogue[number]


def catalogue() -> list[Event]:
    """Return all events in order of their numbers."""
    return [_catalogue[number] for number in sorted(_catalogue)]


# 100: process
NODE_STARTED = _event(100, Level.INFO, "node of {upstream_id} started in {availability_zone}")
NODE_LEAVING = _event(101, Level.INFO, "node is leaving with {running} requests running")
NODE_STOPPED = _event(102, Level.INFO, "node stopped")
PROCESS_PAUSED = _event(103, Level.WARNING, "process was paused for {gap_ms:.0f} ms")
TASK_FAILED = _event(104, Level.ERROR, "task {task} failed: {error}")
LINES_DROPPED = _event(
    105, Level.WARNING, "{lines} lines were dropped while the reader of the output stalled"
)
STOP_INCOMPLETE = _event(106, Level.WARNING, "node ended before all connections were closed")

# 200: peer links and membership
LINK_OPENED = _event(200, Level.INFO, "link to {peer} opened")
LINK_CLOSED = _event(201, Level.INFO, "link to {peer} closed: {problem}")
LINK_REFUSED = _event(202, Level.WARNING, "connection from {address} refused: {problem}")
FRAME_DROPPED = _event(203, Level.DEBUG, "frame from {peer} dropped: {problem}")
MEMBER_CHANGED = _event(204, Level.INFO, "member {upstream_id} is now {state}")
MEMBER_SUPERSEDED = _event(
    205, Level.ERROR, "a newer process of {upstream_id} runs, started at {start_number}"
)

# 300: configuration
CONFIG_ACCEPTED = _event(300, Level.INFO, "configuration version {version} accepted from {source}")
CONFIG_REFUSED = _event(301, Level.ERROR, "configuration from {source} refused: {error}")
CONFIG_READ_FAILED = _event(302, Level.WARNING, "configuration service: {error}")
KEY_WITHDRAWN = _event(303, Level.INFO, "key {key_id} withdrawn by version {version}")
CONFIG_CONFLICT = _event(
    304, Level.ERROR, "configuration version {version} of {source} has another digest"
)
NODE_READY = _event(305, Level.INFO, "configuration version {version} is the newest one found")
LIST_READ_FAILED = _event(306, Level.WARNING, "instance list: {error}")
LIST_ENTRY_REFUSED = _event(307, Level.WARNING, "instance list: left out {problem}")

# 400: requests
REQUEST_REFUSED = _event(400, Level.DEBUG, "request {request_id} refused: {reason}")
REQUEST_ABORTED = _event(401, Level.INFO, "request {request_id} aborted: {problem}")
REQUEST_CANCELLED = _event(402, Level.DEBUG, "request {request_id} cancelled by its caller")
ANSWER_UNMATCHED = _event(
    403, Level.WARNING, "answer of the target is not the one to request {request_id}: {problem}"
)

# 500: overload
UPSTREAM_EJECTED = _event(
    500, Level.WARNING, "upstream {upstream_id} ejected for {duration_ms:.0f} ms"
)
UPSTREAM_RETURNED = _event(501, Level.INFO, "upstream {upstream_id} back in routing")
OVERLOAD_STARTED = _event(
    502, Level.WARNING, "overload at {upstream_id}: queue delay {delay_ms:.0f} ms"
)
OVERLOAD_ENDED = _event(
    503, Level.INFO, "overload at {upstream_id} ended after {duration_ms:.0f} ms"
)
PROFILE_REVISED = _event(504, Level.INFO, "admission at {upstream_id} now follows {profile_id}")
SHARE_EXCEEDED = _event(
    505,
    Level.WARNING,
    "important work of {organisation_id} exceeds its share at {upstream_id}",
)
PROBE_FAILED = _event(506, Level.WARNING, "probe of {upstream_id} failed: {problem}")
PROBE_RECOVERED = _event(507, Level.INFO, "probe of {upstream_id} succeeds again")
SLOW_START = _event(
    508, Level.INFO, "target of {upstream_id} starts slowly over {duration_ms:.0f} ms"
)

# 600: quota
HOLDER_CHANGED = _event(600, Level.INFO, "{role} holder is now {upstream_id}")
DELEGATION_LAPSED = _event(601, Level.INFO, "delegation of {upstream_id} lapsed")
QUOTA_SUPERSEDED = _event(
    602, Level.WARNING, "a newer process serves {upstream_id}; this one uses no quota"
)
QUOTA_PERMISSIONS_DROPPED = _event(
    603, Level.WARNING, "dropped {tokens} tokens and {shares} delegations after a pause"
)
QUOTA_VERSION_SETTLED = _event(
    604, Level.INFO, "fractions of configuration version {version} are in force everywhere"
)

# 700: sidecars that integrate with the users' platform
STORE_LOST = _event(700, Level.WARNING, "metadata store: {problem}; plan {version} stays in force")
STORE_REGAINED = _event(701, Level.INFO, "metadata store answers again after {away_ms:.0f} ms")
PLAN_IN_FORCE = _event(702, Level.INFO, "plan {version} in force, from {source}")
DOCUMENT_REFUSED = _event(703, Level.WARNING, "{key} at revision {revision} refused: {problem}")
UPSTREAM_CHANGED = _event(704, Level.INFO, "upstream {upstream_id} of {service_id} is {state}")
PEER_OPENED = _event(705, Level.INFO, "link to {peer} opened")
PEER_CLOSED = _event(706, Level.INFO, "link to {peer} closed: {problem}")
PEER_SILENT = _event(707, Level.WARNING, "link to {peer} silent for {silence_ms:.0f} ms")
DOCUMENTS_FROM_PEER = _event(708, Level.INFO, "documents of revision {revision} from {peer}")
SETTINGS_RELOADED = _event(709, Level.INFO, "settings read again: {outcome}")
COUNTER_CHANGED = _event(710, Level.INFO, "rates are counted at {peer}")
REQUEST_ENDED = _event(
    711,
    Level.INFO,
    "request {request_id} on {route}: {status} {reason} after {took_ms:.0f} ms, sent {sent}, "
    "attempts: {attempts}",
)
ATTEMPT_FAILED = _event(
    712, Level.INFO, "request {request_id} at {upstream_id}: {outcome} {reason}, again: {again}"
)
RUN_REFUSED = _event(
    713,
    Level.INFO,
    "request {request_id} refused beside {upstream_id}: {reason}, {running} run, {queued} wait",
)
LINES_LEFT_OUT = _event(714, Level.INFO, "{left_out} log lines left out in the last second")
LEVEL_CHANGED = _event(715, Level.INFO, "overload level of {service_id} is {overload_level:.2f}")
FEED_CHANGED = _event(
    717, Level.INFO, "changes come from {sources}; watching the store: {watching}"
)
TARGET_LIMIT_CHANGED = _event(
    718,
    Level.INFO,
    "target of {service_id} limits its callers to {limit_per_s} requests per second; {sent} were "
    "sent in the {period_ms:.0f} ms before",
)
TARGET_LIMIT_LIFTED = _event(
    721,
    Level.INFO,
    "target of {service_id} no longer limits its callers to {limit_per_s} requests per second; "
    "{sent} were sent in the {period_ms:.0f} ms before",
)
TARGET_LEAVING = _event(719, Level.INFO, "target {upstream_id} of {service_id} says that it leaves")
TARGET_CRASHED = _event(
    722,
    Level.WARNING,
    "target of {upstream_id} crashed, {lost} requests were lost; {blocked} requests are blocked",
)
REQUEST_BLOCKED = _event(
    723,
    Level.WARNING,
    "request {request_id}, {method} {target} for {organisation_id}, refused: it was lost in "
    "{crashes} crashes of targets and is blocked for {block_ms:.0f} ms",
)
RUN_REJECTED = _event(
    724,
    Level.INFO,
    "request {request_id} rejected by the target of {upstream_id} with {status} after "
    "{took_ms:.1f} ms, as request {request_number} on connection {connection}",
)
STRAY_ANSWER = _event(
    725,
    Level.WARNING,
    "connection {connection} to the target of {service_id}, after {requests} requests: "
    "{description}",
)
STORE_ANSWER_MISMATCHED = _event(
    727,
    Level.WARNING,
    "metadata store: an answer on a kept connection does not fit {call}, which is sent again on a "
    "new one",
)
MEMORY_SHORT = _event(
    760,
    Level.WARNING,
    "memory is short: {held_mb:.1f} of {capacity_mb:.1f} MB held, by owner in MB (holders): "
    "{owners}; refused so far: {refused}",
)
STORE_RESTORED = _event(
    720,
    Level.WARNING,
    "metadata store came back from an older copy: revision {known} was known, {revision} is "
    "served; learned from {source}",
)
LOAD_TRANSFER_CHANGED = _event(
    758,
    Level.INFO,
    "requests of {service_id} to other availability zones: {state}; own wait {own_wait_ms:.0f} ms, "
    "wait {wait_ms:.0f} ms and cost {path_ms:.0f} ms elsewhere; sent {sent}, saved "
    "{saved_ms:.0f} ms",
)
HISTORY_LOST = _event(716, Level.INFO, "changes after revision {revision} are lost: {problem}")
PLAN_FIELD_UNREADABLE = _event(
    740, Level.WARNING, "{key} version {version}: {field}: expected {expected}; {used} is used"
)
PLAN_ITEM_LEFT_OUT = _event(
    741, Level.WARNING, "{key} version {version}: {field}: expected {expected}; left out"
)
PLAN_PROBLEMS_LEFT_OUT = _event(
    742, Level.WARNING, "{key} version {version}: {problems} more values could not be read"
)
ZONE_EVACUATED = _event(
    743, Level.WARNING, "zone {zone} is evacuated since revision {revision}, from {source}"
)
EVACUATION_ENDED = _event(
    744, Level.INFO, "evacuation of zone {zone} ended at revision {revision}, from {source}"
)
EVACUATION_KEPT = _event(
    745,
    Level.WARNING,
    "metadata store came back without the evacuation of zone {zone}, which stays in force after "
    "revision {revision} from {source}; write and remove its key to end it",
)
EVACUATION_OUTDATED = _event(
    746,
    Level.WARNING,
    "metadata store came back with an evacuation of zone {zone} that had ended, at revision "
    "{revision}; it is ignored until its key is written again",
)
TARGET_COLD = _event(
    750,
    Level.INFO,
    "target of {service_id} counts as cold: {reason}; it gets at most {limit_per_s} requests per "
    "second",
)
TARGET_WARM = _event(
    751,
    Level.INFO,
    "target of {service_id} is warm; it got {sent} requests in the {period_ms:.0f} ms before",
)
HEALTH_CHECK_FAILED = _event(
    752,
    Level.INFO,
    "health check of the target of {service_id} does not tell whether it is cold: {problem}",
)
RETRIES_OVER_BUDGET = _event(
    755,
    Level.INFO,
    "retry budget of {service_id} is used up: {requests} requests, {repeats} repeats and "
    "{inherited} inherited ones in the window; {refused} repeats were not made since the start",
)
