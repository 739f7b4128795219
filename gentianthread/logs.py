"""Write numbered events as structured log records."""

import json
import sys
from typing import Any, TextIO

import logbook

from .events import LINES_DROPPED, Event, Level
from .line_output import LineOutput

_LEVELS = {
    Level.DEBUG: logbook.DEBUG,
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}

_logger = logbook.Logger("gentianthread")


def log(event: Event, **fields: Any) -> None:
    """Log an event.

    Args:
        event: The event from the catalogue.
        fields: Values for the placeholders of its text; JSON lines also contain them as keys.
    """
    level = _LEVELS[event.level]
    _logger.log(
        level, event.text.format(**fields), extra={"number": event.number, "fields": fields}
    )


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a log record as a line of JSON."""
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "event": record.extra["number"],
        "message": record.message,
        **{name: _to_json_value(value) for name, value in (record.extra["fields"] or {}).items()},
    }
    return json.dumps(line)


def format_human(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a log record as a human-readable line."""
    time = record.time.strftime("%H:%M:%S.%f")[:-3]
    return f"{time} {record.level_name:7} G{record.extra['number']} {record.message}"


def _to_json_value(value: Any) -> Any:
    return value if isinstance(value, str | int | float | bool | None) else str(value)


_FORMATTERS = {"json": format_json, "human": format_human}


def make_handler(
    log_format: str, level_name: str, stream: TextIO | None = None
) -> logbook.StreamHandler:
    """Create a log handler; the caller activates it, for example with `push_application`.

    A reader of the stream that stalls never blocks the process. Other text for the same stream
    must be written to the handler's `stream`, a `LineOutput`, so that lines stay whole.

    Args:
        log_format: "json" or "human".
        level_name: Lowest level that is logged.
        stream: Output stream with a file descriptor; standard error by default.
    """
    output = LineOutput(stream or sys.stderr)
    output.on_dropped = lambda lines: log(LINES_DROPPED, lines=lines)
    log_handler = logbook.StreamHandler(
        output, level=logbook.lookup_level(level_name.upper()), bubble=False
    )
    log_handler.formatter = _FORMATTERS[log_format]
    return log_handler
