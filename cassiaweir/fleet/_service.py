"""The gRPC service through which gateways reach the owners of shards."""

from __future__ import annotations

import grpc

from cassiaweir.fleet._ownership import ShardManager
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc


class SchedulerService(cell_pb2_grpc.SchedulerServicer):
    """Serves gateways for the shards that this process owns."""

    def __init__(self, manager: ShardManager) -> None:
        self._manager = manager

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service to `server`."""
        cell_pb2_grpc.add_SchedulerServicer_to_server(self, server)

    async def NotifyParts(  # noqa: N802
        self, req: cell_pb2.PartsCommitted, context: grpc.aio.ServicerContext
    ) -> cell_pb2.Ack:
        """Make the owner of a shard read a part that was committed or changed."""
        runner = self._manager.runner(req.shard)
        if runner is None:
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                "this process does not own the shard",
            )
        else:
            runner.notify(req.job)
        return cell_pb2.Ack()

    async def QueryJob(  # noqa: N802
        self, req: cell_pb2.JobQuery, context: grpc.aio.ServicerContext
    ) -> cell_pb2.JobAnswer:
        """Return the live state of a job's parts in the shards of this process."""
        answer = cell_pb2.JobAnswer()
        for runner in self._manager.runners():
            status = runner.status(req.job)
            if status is not None:
                answer.parts.add(
                    shard=status.shard,
                    queued=status.queued,
                    running=status.running,
                    succeeded=status.succeeded,
                    failed=status.failed,
                    waiting_reason=status.reason.value,
                )
        return answer
