"""The gRPC service `Peer` of every process, and the encoding of its messages."""

from __future__ import annotations

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import grpc
import msgspec

from cassiaweir.configuration import Bundle, KnownKey, ViewContent
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.types import Clock

UNKNOWN_AGE_MS = 2**32 - 1
"""An age that is unknown or too long for the `uint32` fields of messages."""

MAX_EVENTS = 1_000
"""Maximum, and default, number of events in one `EventsAnswer`."""

MILLISECONDS_PER_SECOND = 1_000


class HeartbeatResponder(Protocol):
    """Answers the heartbeats of other processes."""

    def answer(self, heartbeat: cell_pb2.Heartbeat) -> cell_pb2.Heartbeat:
        """Return the state of this process and some states received from others."""


class ViewSource(Protocol):
    """Exports the parts of the view that are newer than those of another process."""

    def export_newer(self, bundle_version: int, keys_version: int) -> ViewContent:
        """Return the parts that are newer than the versions given."""


def age_to_ms(age: timedelta) -> int:
    """Return `age` rounded up to milliseconds, at most `UNKNOWN_AGE_MS`."""
    return seconds_to_ms(age.total_seconds())


def seconds_to_ms(seconds: float) -> int:
    """Return `seconds` rounded up to milliseconds, at least 0.

    `UNKNOWN_AGE_MS` is returned if they are infinite or do not fit below it.
    """
    if seconds * MILLISECONDS_PER_SECOND >= UNKNOWN_AGE_MS:
        return UNKNOWN_AGE_MS
    return max(math.ceil(seconds * MILLISECONDS_PER_SECOND), 0)


def ms_to_seconds(millis: int) -> float:
    """Return `millis` in seconds, infinity for `UNKNOWN_AGE_MS`."""
    return math.inf if millis >= UNKNOWN_AGE_MS else millis / MILLISECONDS_PER_SECOND


def encode_view(content: ViewContent, now: float) -> cell_pb2.ViewAnswer:
    """Return `content` as a message, with the age of the view at `now`.

    `now` is in seconds of the monotonic clock of this process.
    """
    keys = content.keys
    return cell_pb2.ViewAnswer(
        bundle_version=content.bundle_version,
        bundle=b"" if content.bundle is None else content.bundle.encode(),
        keys_version=content.keys_version,
        keys=b"" if keys is None else msgspec.json.encode(list(keys.values())),
        view_age_ms=seconds_to_ms(now - content.fresh_at),
    )


def decode_view(answer: cell_pb2.ViewAnswer, sent_at: float) -> ViewContent:
    """Return the content of an answer to a call sent at `sent_at`.

    `sent_at` is in seconds of the monotonic clock of this process.  Counting the age
    from it, not from the arrival of the answer, never makes the view seem too recent.
    Raises `InvalidInputError` if a part cannot be decoded.
    """
    bundle = Bundle.decode(answer.bundle) if answer.bundle else None
    keys = _decode_keys(answer.keys) if answer.keys else None
    fresh_at = sent_at - ms_to_seconds(answer.view_age_ms)
    return ViewContent(
        answer.bundle_version, bundle, answer.keys_version, keys, fresh_at
    )


class PeerServicer(cell_pb2_grpc.PeerServicer):
    """Implements the gRPC service `Peer`.

    `state` returns the state of the process as a text for operators.
    """

    def __init__(
        self,
        heartbeat_responder: HeartbeatResponder,
        view: ViewSource,
        events: EventLog,
        metrics: Metrics,
        clock: Clock,
        *,
        state: Callable[[], str],
    ) -> None:
        self._heartbeat_responder = heartbeat_responder
        self._view = view
        self._events = events
        self._texts = {"metrics": metrics.render, "state": state}
        self._clock = clock

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service to `server`."""
        cell_pb2_grpc.add_PeerServicer_to_server(self, server)

    async def Exchange(  # noqa: N802
        self, request: cell_pb2.Heartbeat, context: grpc.aio.ServicerContext
    ) -> cell_pb2.Heartbeat:
        """Answer a heartbeat, compressed, as the states in it resemble each other."""
        context.set_compression(grpc.Compression.Gzip)
        # grpc.aio compresses only if the initial metadata is sent explicitly.
        await context.send_initial_metadata(())
        return self._heartbeat_responder.answer(request)

    async def Events(  # noqa: N802
        self, request: cell_pb2.EventsRequest, context: grpc.aio.ServicerContext
    ) -> cell_pb2.EventsAnswer:
        """Return the buffered events that follow the sequence number given."""
        limit = min(request.limit or MAX_EVENTS, MAX_EVENTS)
        found = self._events.after(request.after, limit)
        return cell_pb2.EventsAnswer(
            process=self._events.process,
            events=[msgspec.json.encode(event) for event in found],
            last=found[-1].sequence if found else request.after,
        )

    async def Text(  # noqa: N802
        self, request: cell_pb2.TextRequest, context: grpc.aio.ServicerContext
    ) -> cell_pb2.TextAnswer:
        """Return the text called `metrics` or `state`."""
        text = self._texts.get(request.name)
        if text is None:
            names = " or ".join(self._texts)
            await context.abort(
                grpc.StatusCode.NOT_FOUND, f"unknown text, expected {names}"
            )
            raise AssertionError("abort returned")
        return cell_pb2.TextAnswer(text=text())

    async def FetchView(  # noqa: N802
        self, request: cell_pb2.ViewRequest, context: grpc.aio.ServicerContext
    ) -> cell_pb2.ViewAnswer:
        """Return the parts of the view that are newer than the caller's."""
        content = self._view.export_newer(request.bundle_version, request.keys_version)
        return encode_view(content, self._clock.monotonic())


def _decode_keys(body: bytes) -> dict[str, KnownKey]:
    try:
        keys = msgspec.json.decode(body, type=list[KnownKey])
    except msgspec.MsgspecError as exc:
        raise InvalidInputError(f"cannot decode the keys of a view: {exc}") from exc
    return {key.digest: key for key in keys}
