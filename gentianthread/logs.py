"""Write numbered events as structured log records."""

import json
import sys
from typing import Any

import logbook

from .events import Event, Level

_LEVELS = {
    Level.DEBUG: logbook.DEBUG,
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}

_logger = logbook.Logger("gentianthread")


def log(event: Event, **fields: Any) -> None:
    """Write one event.

    Args:
        event: The event from the catalogue.
        fields: Values for its text; they also stand alone in the JSON form.
    """
    level = _LEVELS[event.level]
    _logger.log(
        level, event.text.format(**fields), extra={"number": event.number, "fields": fields}
    )


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return the JSON line of a record."""
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "event": record.extra["number"],
        "message": record.message,
        **{name: _plain(value) for name, value in (record.extra["fields"] or {}).items()},
    }
    return json.dumps(line)


def format_human(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return the line of a record for people."""
    time = record.time.strftime("%H:%M:%S.%f")[:-3]
    return f"{time} {record.level_name:7} G{record.extra['number']} {record.message}"


def _plain(value: Any) -> Any:
    return value if isinstance(value, str | int | float | bool | None) else str(value)


_FORMATS = {"json": format_json, "human": format_human}


def make_handler(form: str, level_name: str, stream: Any = None) -> logbook.Handler:
    """Return a log handler; push it with `push_application`.

    Args:
        form: "json" or "human".
        level_name: Lowest level that is written.
        stream: Where to write; standard error by default.
    """
    log_handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level_name.upper()), bubble=False
    )
    log_handler.formatter = _FORMATS[form]
    return log_handler
