"""Command line of the simulated services: `python -m standins COMMAND`."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

# uvloop reads this when it creates its first loop; the platform forbids io_uring.
os.environ["UV_USE_IO_URING"] = "0"

import click
import uvloop

from cassiaweir.types import Resources
from standins._backend import DEFAULT_CONNECTIONS, DEFAULT_SLOTS, BackendService
from standins._deployment import PlatformFile
from standins._http import Service
from standins._ledger import Ledger
from standins._objects import ObjectService
from standins._platform import PlatformService
from standins._relay import Relay
from standins._table import TableService
from standins._vms import VmListService, VmRegistry
from standins._worker import SimulatedWorker
from standins._worker_service import WorkerService

AsyncCallback = Callable[[], Awaitable[object]]


def _run(start: AsyncCallback, stop: AsyncCallback) -> None:
    """Run until SIGTERM or SIGINT.

    Once started, print `ready`, with the text that `start` returns, if any.
    """

    async def body() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        click.echo(f"ready {await start() or ''}".rstrip())
        await stopping.wait()
        await stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(body())


def _serve(service: Service, listen: str) -> None:
    """Serve `service` on the address `listen` until the process is stopped."""
    _run(lambda: service.listen(listen), service.close)


@click.group()
def main() -> None:
    """Run simulated platform services on loopback."""


LISTEN = click.option(
    "--listen",
    required=True,
    help="address, such as 127.0.0.1:0; port 0 takes a free one",
)


@main.command()
@LISTEN
def table(listen: str) -> None:
    """Serve the transactional table from memory."""
    _serve(TableService(), listen)


@main.command()
@LISTEN
def objects(listen: str) -> None:
    """Serve the object store from memory."""
    _serve(ObjectService(), listen)


@main.command()
@LISTEN
@click.option("--lag", default=1.0, help="seconds until a change shows in the list")
def vms(listen: str, lag: float) -> None:
    """Serve the list of VMs, empty at first."""
    _serve(VmListService(VmRegistry(lag)), listen)


@main.command()
@LISTEN
@click.option("--name", required=True)
@click.option("--cpu-millis", default=16_000)
@click.option("--memory-mb", default=65_536)
@click.option("--accelerators", default=0)
@click.option("--fence/--no-fence", default=True)
@click.option(
    "--clock-offset", default=0.0, help="seconds by which the VM's clock is fast"
)
def worker(
    listen: str,
    name: str,
    cpu_millis: int,
    memory_mb: int,
    accelerators: int,
    fence: bool,
    clock_offset: float,
) -> None:
    """Serve one simulated worker VM."""
    simulated = SimulatedWorker(
        name,
        Resources(cpu_millis, memory_mb, accelerators),
        Ledger(time.monotonic),
        incarnation=f"{name}.{os.getpid()}",
        fences=fence,
        clock_offset=clock_offset,
    )
    _serve(WorkerService(simulated), listen)


@main.command()
@LISTEN
@click.option("--name", required=True)
@click.option("--slots", default=DEFAULT_SLOTS)
@click.option("--connections", default=DEFAULT_CONNECTIONS)
def backend(listen: str, name: str, slots: int, connections: int) -> None:
    """Serve one simulated backend server."""
    _serve(BackendService(name, slots=slots, connections=connections), listen)


@main.command()
@LISTEN
@click.option("--control", default="127.0.0.1:0", help="address for setting faults")
@click.option("--check/--no-check", default=True, help="poll /ready of each target")
@click.argument("targets", nargs=-1, required=True)
def balancer(listen: str, control: str, check: bool, targets: tuple[str, ...]) -> None:
    """Relay connections to TARGETS that are ready."""
    relay = Relay(targets, check=check)

    async def start() -> str:
        bound = await relay.relay(listen)
        return f"{bound} control {await relay.listen(control)}"

    _run(start, relay.close)


@main.command()
@click.option(
    "--deployment",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def platform(deployment: Path) -> None:
    """Serve all services of the deployment file in this process."""
    service = PlatformService(PlatformFile.load(deployment))
    _run(service.start, service.stop)


if __name__ == "__main__":
    main()
