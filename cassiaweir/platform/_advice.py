"""The client of the platform's advice service; the platform calls advice a hint."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from cassiaweir.dispatch import Advice
from cassiaweir.exceptions import UnavailableError
from cassiaweir.platform._http import HttpSession
from cassiaweir.types import MAX_DURATION_S, bounded_float
from cassiaweir.verdict import Verdict

STATUS_OK = 200
JSON_HEADERS = {"Content-Type": "application/json"}


class _Answer(msgspec.Struct):
    # Pairs of server id and ticket, one for each server that may run the step.
    allowed: list[tuple[str, str]] = []
    # How long the tickets stay valid after the answer.
    valid_ms: float = 0


class HttpAdviceClient:
    """Implements the `Advisor` protocol by calling the service at `address`."""

    def __init__(self, session: HttpSession, address: str) -> None:
        self._session = session
        self._address = address

    async def advise(
        self, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return the tickets of the servers among `server_ids` that may run `step`.

        Raises `UnavailableError` with NOT_RUN where the service answers with an error
        status, with RAN where its answer cannot be decoded, and otherwise as
        `HttpSession.send` does.
        """
        body = msgspec.json.encode({"step": step, "workers": list(server_ids)})
        resp = await self._session.send(
            "POST",
            self._address,
            "/advise",
            body,
            timedelta(seconds=timeout_s),
            JSON_HEADERS,
        )
        if resp.status != STATUS_OK:
            message = f"the advice service answered {resp.status}"
            raise UnavailableError(message, verdict=Verdict.NOT_RUN)
        try:
            found = msgspec.json.decode(resp.body, type=_Answer)
        except msgspec.DecodeError as exc:
            message = f"cannot decode the answer of the advice service: {exc}"
            raise UnavailableError(message, verdict=Verdict.RAN) from exc
        valid_s = bounded_float(found.valid_ms / 1_000, MAX_DURATION_S)
        return Advice(dict(found.allowed), valid_s)
