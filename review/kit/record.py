"""Write the record of a case, and the verdict as its exit code."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Time after which a case that does not end counts as one that could not run.
LIMIT_S = 110.0


class Record:
    """Collect the lines of `record.txt`.

    Attributes:
        trouble: Whether the disruption is played; `TROUBLE=0` leaves it out.
    """

    def __init__(self, folder: Path):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._started_s: float | None = None
        self.write(f"TROUBLE={int(self.trouble)}")

    def write(self, line: str) -> None:
        """Add a line with the time since the first one."""
        try:
            now_s = asyncio.get_running_loop().time()
        except RuntimeError:
            self._lines.append(line)
            return
        if self._started_s is None:
            self._started_s = now_s
        self._lines.append(f"{now_s - self._started_s:8.3f} {line}")

    def save(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit with its verdict.

    Args:
        folder: Folder of the case.
        play: Plays the case, and returns whether the rule held.
    """
    record = Record(folder)

    async def bounded() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await play(record)

    try:
        code = HELD if asyncio.run(bounded()) else BROKEN
    except BaseException:
        record.write(traceback.format_exc())
        code = NOT_RUN
    record.write(f"verdict {('held', 'broken', 'not run')[code]}")
    record.save()
    print(record._lines[-1])
    sys.exit(code)
