"""The gRPC service of a scheduler."""

from __future__ import annotations

import grpc

from cassiaweir.fleet._ownership import ShardManager
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc


class SchedulerService(cell_pb2_grpc.SchedulerServicer):
    """Answers gateways for the shards that this process owns."""

    def __init__(self, manager: ShardManager) -> None:
        self._manager = manager

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service to `server`."""
        cell_pb2_grpc.add_SchedulerServicer_to_server(self, server)

    async def NotifyParts(  # noqa: N802
        self, req: cell_pb2.PartsCommitted, context: grpc.aio.ServicerContext
    ) -> cell_pb2.Ack:
        """Have the owner look at a part that was committed or changed."""
        runner = self._manager.runner(req.shard)
        if runner is None:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "not the owner")
        else:
            runner.notify(req.job)
        return cell_pb2.Ack()

    async def QueryJob(  # noqa: N802
        self, req: cell_pb2.JobQuery, context: grpc.aio.ServicerContext
    ) -> cell_pb2.JobAnswer:
        """Return the live state of the parts of a job."""
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
