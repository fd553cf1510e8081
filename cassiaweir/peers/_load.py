"""Conversion of the load that the leader tells between its object and its message."""

from __future__ import annotations

from cassiaweir.rpc import node_pb2
from cassiaweir.scheduling import CustomerLoad, LoadSnapshot, QueueLoad

MAX_AGE_MS = 2**32 - 1


def encode_load(load: LoadSnapshot | None, now: float) -> node_pb2.OfferAnswer:
    """Return the message with `load`, whose time is on the same clock as `now`."""
    if load is None:
        return node_pb2.OfferAnswer()
    age_ms = round(max(now - load.time, 0.0) * 1_000)
    return node_pb2.OfferAnswer(
        epoch=load.epoch,
        age_ms=min(age_ms, MAX_AGE_MS),
        fleet_cpu_millis=load.fleet_cpu_millis,
        queues={
            name: node_pb2.QueueLoad(
                wait_s=each.wait_s, late_wait_s=each.late_wait_s, full=each.full
            )
            for name, each in load.queues.items()
        },
        customers={
            name: node_pb2.CustomerLoad(
                allowed_share=each.allowed_share, wait_s=each.wait_s
            )
            for name, each in load.customers.items()
        },
        crowded=sorted(load.crowded),
        pending=load.pending,
    )


def decode_load(answer: node_pb2.OfferAnswer, sent_at: float) -> LoadSnapshot | None:
    """Return the load in an answer to a call that was sent at `sent_at`.

    The measurement is assumed to be as old as it can be, as the clocks of VMs differ.
    """
    if not answer.epoch:
        return None
    return LoadSnapshot(
        answer.epoch,
        sent_at - answer.age_ms / 1_000,
        answer.fleet_cpu_millis,
        {
            name: QueueLoad(each.wait_s, each.late_wait_s, each.full)
            for name, each in answer.queues.items()
        },
        {
            name: CustomerLoad(each.allowed_share, each.wait_s)
            for name, each in answer.customers.items()
        },
        frozenset(answer.crowded),
        dict(answer.pending),
    )
