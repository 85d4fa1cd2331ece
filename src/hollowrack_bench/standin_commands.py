"""``hollowrack standin`` commands: run one stand-in as a separate process."""

import asyncio
from typing import Protocol

import click

from hollowrack_standins.config_store import ConfigStoreStandin
from hollowrack_standins.engine import EngineStandin
from hollowrack_standins.engine_core import EngineConfig
from hollowrack_standins.machine_list import MachineListStandin
from hollowrack_standins.service_worker import ServiceWorkerStandin
from hollowrack_standins.weight_store import WeightStoreStandin


class _Standin(Protocol):
    async def start(self) -> str:
        """Start and return the bound address."""

    async def stop(self) -> None:
        """Stop."""


def _serve(standin: _Standin) -> None:
    async def run() -> None:
        address = await standin.start()
        click.echo(f"listening on {address}")
        try:
            await asyncio.Event().wait()
        finally:
            await standin.stop()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        click.echo("stopped")


_listen = click.option("--listen", default="127.0.0.1:0", show_default=True, help="IP:PORT.")


@click.group()
def standin() -> None:
    """Run one stand-in of the platform, for manual tests of a node."""


@standin.command()
@_listen
@click.option("--model", default="quote", show_default=True)
@click.option(
    "--slots", default=8, show_default=True, help="Maximum number of concurrent sequences."
)
@click.option("--weight-store", default="", help="Base URL of the weight store.")
def engine(listen: str, model: str, slots: int, weight_store: str) -> None:
    """Run a model engine."""
    _serve(EngineStandin(EngineConfig(model=model, num_slots=slots), weight_store, listen))


@standin.command()
@_listen
@click.option("--name", default="worker", show_default=True)
def service(listen: str, name: str) -> None:
    """Run a service worker."""
    _serve(ServiceWorkerStandin(name, listen))


@standin.command()
@_listen
def config_store(listen: str) -> None:
    """Run a configuration store (etcd v3 JSON gateway)."""
    _serve(ConfigStoreStandin(listen))


@standin.command()
@_listen
@click.option(
    "--lag-s", default=0.0, show_default=True, help="Age of the list that readers get, in seconds."
)
def machine_list(listen: str, lag_s: float) -> None:
    """Run a machine list; add machines with POST /machines."""
    _serve(MachineListStandin(listen, lag_s))


@standin.command()
@_listen
def weight_store(listen: str) -> None:
    """Run a weight store; publish with PUT /weights/MODEL/VERSION."""
    _serve(WeightStoreStandin(listen))
