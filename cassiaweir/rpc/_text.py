"""Reads a text that a process offers to operators on its VM."""

from __future__ import annotations

from datetime import timedelta

import grpc

from cassiaweir.exceptions import UnavailableError
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.verdict import Verdict

TIMEOUT = timedelta(seconds=5)


async def read_text(address: str, name: str) -> str:
    """Return the text called `name` of the process that serves gRPC at `address`.

    Raises `UnavailableError` where no process answers.
    """
    request = cell_pb2.TextRequest(name=name)
    async with grpc.aio.insecure_channel(address) as channel:
        stub = cell_pb2_grpc.PeerStub(channel)
        try:
            answer = await stub.Text(request, timeout=TIMEOUT.total_seconds())
        except grpc.aio.AioRpcError as exc:
            raise UnavailableError(
                f"no process answers at {address}; is it running with these settings?",
                verdict=Verdict.NOT_RUN,
            ) from exc
    return answer.text
