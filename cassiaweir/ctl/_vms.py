"""The commands of `cassiaweir ctl vm`, for VMs and backend servers."""

from __future__ import annotations

from urllib.parse import quote

import click

from cassiaweir.administration import (
    ConditionChange,
    VmConditionName,
    VmInfo,
    VmsReport,
)
from cassiaweir.ctl._client import Call
from cassiaweir.ctl._context import CtlContext, json_option, pass_ctl, watch_option
from cassiaweir.ctl._output import show_table


@click.group()
def vm() -> None:
    """List, drain, quarantine and open VMs and backend servers."""


@vm.command("list")
@click.option(
    "--role", default="", help="Only those with this role: worker, backend or entry."
)
@click.option(
    "--closed", is_flag=True, help="Only those that are not open for new work."
)
@json_option
@watch_option
@pass_ctl
def vm_list(ctl: CtlContext, role: str, closed: bool, as_json: bool) -> None:
    """List VMs and backend servers.

    Example: cassiaweir ctl vm list --role worker
    """

    def show(response: VmsReport) -> None:
        selected = [item for item in response.vms if role in ("", item.role)]
        if closed:
            selected = [item for item in selected if not _is_open(item)]
        _show_vms(selected)

    ctl.call_and_print(Call("GET", "/v1/admin/vms"), VmsReport, show, as_json=as_json)


@vm.command("drain")
@click.argument("name")
@click.option("--reason", default="", help="Text to store in the audit record.")
@json_option
@pass_ctl
def drain(ctl: CtlContext, name: str, reason: str, as_json: bool) -> None:
    """Start no new work on the VM NAME; running work continues to its end.

    Example: cassiaweir ctl vm drain augusta-worker-3 --reason "disk errors"
    """
    _set_condition(ctl, name, VmConditionName.DRAINED, reason, as_json)


@vm.command("undrain")
@click.argument("name")
@click.option("--reason", default="", help="Text to store in the audit record.")
@json_option
@pass_ctl
def undrain(ctl: CtlContext, name: str, reason: str, as_json: bool) -> None:
    """Open the VM NAME for new work, after it was drained or quarantined.

    Example: cassiaweir ctl vm undrain augusta-worker-3
    """
    _set_condition(ctl, name, VmConditionName.OPEN, reason, as_json)


@vm.command("quarantine")
@click.argument("name")
@click.option("--reason", default="", help="Text to store in the audit record.")
@json_option
@pass_ctl
def quarantine(ctl: CtlContext, name: str, reason: str, as_json: bool) -> None:
    """Start no new work on the VM NAME, as it is suspected of failing its work.

    Example: cassiaweir ctl vm quarantine augusta-worker-3 --reason "fails all"
    """
    _set_condition(ctl, name, VmConditionName.QUARANTINED, reason, as_json)


def _set_condition(
    ctl: CtlContext, name: str, condition: VmConditionName, reason: str, as_json: bool
) -> None:
    path = f"/v1/admin/vms/{quote(name, safe='')}/condition"
    body = ConditionChange(condition=condition, reason=reason)
    call = Call("PUT", path, body=body)
    ctl.call_and_print(
        call, VmInfo, lambda response: _show_vms([response]), as_json=as_json
    )


def _is_open(item: VmInfo) -> bool:
    return item.condition is VmConditionName.OPEN and item.state == "live"


def _show_vms(vms: list[VmInfo]) -> None:
    show_table(
        ("vm", "role", "shard", "rack", "platform", "condition", "by", "has"),
        [
            (
                item.name,
                item.role,
                item.shard,
                item.rack,
                item.state,
                item.condition,
                item.by,
                f"{item.slots} slots of {item.service}"
                if item.service
                else item.capacity,
            )
            for item in vms
        ],
    )
