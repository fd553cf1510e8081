"""Reads a diagnostic text, such as the state, from a process on the same VM."""

from __future__ import annotations

from datetime import timedelta

import grpc

from cassiaweir.exceptions import UnavailableError
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.verdict import Verdict

CALL_TIMEOUT = timedelta(seconds=5)


async def read_text(address: str, name: str) -> str:
    """Return the text `name` of the process that serves gRPC at `address`.

    Raises `UnavailableError` where the call fails.
    """
    request = cell_pb2.TextRequest(name=name)
    async with grpc.aio.insecure_channel(address) as channel:
        stub = cell_pb2_grpc.PeerStub(channel)
        try:
            response = await stub.Text(request, timeout=CALL_TIMEOUT.total_seconds())
        except grpc.aio.AioRpcError as exc:
            raise UnavailableError(
                f"no process answers at {address}; is it running with these settings?",
                verdict=Verdict.NOT_RUN,
            ) from exc
    return response.text
