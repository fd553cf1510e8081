"""The pages on the metrics port that list and clear interfering kinds of tasks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import aiohttp
import msgspec
from loguru import logger

from cassiaweir.exceptions import UnavailableError
from cassiaweir.observe._metrics_server import Page
from cassiaweir.response_bodies import read_bounded
from cassiaweir.scheduling import InterferenceModel, InterferingPair
from cassiaweir.verdict import Verdict

PATH = "/debug/interference"
TIMEOUT = aiohttp.ClientTimeout(total=5)
MAX_ANSWER_BYTES = 16 * 1_048_576
COLUMNS = ("KIND", "BESIDE", "SLOWDOWN", "TASKS", "WITHOUT", "REPORTED")


class InterferenceSource(Protocol):
    """Knows the model of the current term."""

    @property
    def interference(self) -> InterferenceModel | None:
        """The model, None while this process does not lead."""


class InterferenceAnswer(msgspec.Struct):
    """The answer of both pages.  `cleared` is whether the pairs were forgotten."""

    leading: bool
    cleared: bool = False
    pairs: list[InterferingPair] = []


class InterferencePages:
    """Lists the pairs for `GET` and makes the leader forget them for `DELETE`."""

    def __init__(self, source: InterferenceSource) -> None:
        self._source = source

    @property
    def by_request(self) -> Mapping[tuple[str, str], Page]:
        """The pages by method and path."""
        return {("GET", PATH): self._list, ("DELETE", PATH): self._clear}

    def _list(self) -> str:
        model = self._source.interference
        pairs = [] if model is None else model.pairs()
        answer = InterferenceAnswer(model is not None, pairs=pairs)
        return msgspec.json.encode(answer).decode()

    def _clear(self) -> str:
        model = self._source.interference
        if model is not None:
            logger.info("interference_cleared", pairs=model.found_count)
            model.clear()
        answer = InterferenceAnswer(model is not None, model is not None)
        return msgspec.json.encode(answer).decode()


async def fetch_pairs(address: str, *, clear: bool) -> InterferenceAnswer:
    """Return the answer of the process whose metrics are served at `address`."""
    method = "DELETE" if clear else "GET"
    try:
        async with (
            aiohttp.ClientSession(timeout=TIMEOUT) as session,
            session.request(method, f"http://{address}{PATH}") as response,
        ):
            response.raise_for_status()
            raw = await read_bounded(response, MAX_ANSWER_BYTES)
            return msgspec.json.decode(raw, type=InterferenceAnswer)
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        # A lost answer leaves open whether the pairs were cleared.
        verdict = Verdict.MAY_HAVE_RUN if clear else Verdict.NOT_RUN
        cause = str(exc) or type(exc).__name__
        raise UnavailableError(f"{address}: {cause}", verdict=verdict) from exc


def render_pairs(answer: InterferenceAnswer) -> str:
    """Return the answer as a table, or as a line that says why there is none."""
    if not answer.leading:
        return "this process does not lead; ask the leader\n"
    if answer.cleared:
        return "all pairs cleared\n"
    rows = [COLUMNS] + [
        (
            each.kind,
            each.beside,
            f"{each.slowdown:.2f}",
            f"{each.tasks:.1f}",
            f"{each.tasks_without:.1f}",
            "yes" if each.found else "no",
        )
        for each in answer.pairs
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "".join(f"{line.rstrip()}\n" for line in lines)
