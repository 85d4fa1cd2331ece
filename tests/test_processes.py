"""End-to-end tests with separate processes: samples are lost when processes or the store fail."""

import asyncio
import base64
import json
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from hollowrack.bundle.schema import Bundle
from hollowrack.bundle.signing import generate_key, public_key_hex, sign_bundle
from hollowrack_bench.free_ports import free_port
from hollowrack_bench.live_load import LiveCallers, LiveReport
from hollowrack_bench.local_fleet import MODEL, SERVICE_POOL
from hollowrack_standins.trainer import TrainerConfig, TrainerReport, TrainerStandin

ZONES = ("a", "b", "c")
START_TIMEOUT_S = 30.0
PROGRAM = [sys.executable, "-c", "from hollowrack_bench.program import main; main()"]


class Processes:
    """Starts the program's processes and reads the addresses they print."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[str]] = {}

    def start(self, name: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("w")
        self.running[name] = subprocess.Popen(
            [*PROGRAM, *arguments], stdout=log, stderr=subprocess.STDOUT, text=True
        )
        log.close()

    def address_of(self, name: str) -> str:
        return self.wait_for_line(name, "listening on").rsplit(" ", 1)[1]

    def wait_for_line(self, name: str, text: str) -> str:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for line in (self.folder / f"{name}.log").read_text().splitlines():
                if text in line:
                    return line
            time.sleep(0.05)
        raise TimeoutError(f"{name}: {(self.folder / f'{name}.log').read_text()}")

    def stop(self, name: str, signal_number: signal.Signals) -> int:
        process = self.running.pop(name)
        process.send_signal(signal_number)
        return process.wait(timeout=60)

    def kill_all(self) -> None:
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait(timeout=30)


@contextmanager
def _processes(folder: Path) -> Iterator[Processes]:
    processes = Processes(folder)
    try:
        yield processes
    finally:
        processes.kill_all()


def _call(method: str, url: str, body: object = None) -> Any:
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.loads(response.read() or b"null")


def _start_fleet(processes: Processes) -> tuple[list[str], str]:
    """Start stand-ins and five nodes; return the callers' URLs and the store's address."""
    for name, command in (
        ("store", "config-store"),
        ("machines", "machine-list"),
        ("weights", "weight-store"),
    ):
        processes.start(name, "standin", command)
    store, machines, weights = map(processes.address_of, ("store", "machines", "weights"))
    _call("PUT", f"http://{weights}/weights/{MODEL}/0")
    key = generate_key()
    platform = {
        "config_store": [f"http://{store}"],
        "machine_list": f"http://{machines}/targets",
        "weight_store": f"http://{weights}",
    }
    for index in range(4):
        store_url = f"http://{weights}"
        processes.start(f"engine{index}", "standin", "engine", "--weight-store", store_url)
    for index in range(3):
        processes.start(f"worker{index}", "standin", "service", "--name", f"w{index}")
    ports = [_free_ports(3) for _ in range(5)]
    peers = [(f"n{index}", ZONES[index % 3], f"127.0.0.1:{ports[index][2]}") for index in range(5)]
    for (name, zone, _), node_ports in zip(peers, ports, strict=True):
        text = _settings_text(processes.folder, name, zone, node_ports, platform, key, peers)
        path = processes.folder / f"{name}.toml"
        path.write_text(text)
        processes.start(name, "node", str(path))
    for index in range(4):
        address = processes.address_of(f"engine{index}")
        _list_machine(machines, address, "engine", MODEL, ZONES[index % 3])
    for index in range(3):
        address = processes.address_of(f"worker{index}")
        _list_machine(machines, address, "service", SERVICE_POOL, ZONES[index % 3])
    for name, _, _ in peers:
        processes.wait_for_line(name, "listens on")
    operators = [f"http://127.0.0.1:{node_ports[1]}" for node_ports in ports]
    _accept_bundle(operators[0], key)
    _wait_ready(operators)
    return [f"http://127.0.0.1:{node_ports[0]}" for node_ports in ports], store


def _list_machine(machines: str, address: str, kind: str, pool: str, zone: str) -> None:
    body = {"address": address, "kind": kind, "pool": pool, "zone": zone}
    _call("POST", f"http://{machines}/machines", body)


def _free_ports(count: int) -> list[int]:
    return [free_port() for _ in range(count)]


def _settings_text(
    folder: Path,
    name: str,
    zone: str,
    ports: list[int],
    platform: dict[str, Any],
    key: Any,
    peers: list[tuple[str, str, str]],
) -> str:
    key_file = folder / "cluster.key"
    if not key_file.exists():
        key_file.write_text("5a" * 32)
    data_dir = folder / f"{name}-data"
    data_dir.mkdir()
    lines = [
        f'node = "{name}"',
        f'zone = "{zone}"',
        f'cluster_key_file = "{key_file}"',
        f'trusted_signers = {{ ops = "{public_key_hex(key)}" }}',
    ]
    if name in ("n0", "n1"):
        lines.append(f'data_dir = "{data_dir}"')
    lines += [
        "[listeners]",
        f'callers = "127.0.0.1:{ports[0]}"',
        f'operators = "127.0.0.1:{ports[1]}"',
        f'nodes = "127.0.0.1:{ports[2]}"',
        "[platform]",
        f"config_store = {json.dumps(platform['config_store'])}",
        f'machine_list = "{platform["machine_list"]}"',
        f'weight_store = "{platform["weight_store"]}"',
    ]
    for peer, peer_zone, address in peers:
        lines += [
            "[[peers]]",
            f'node = "{peer}"',
            f'zone = "{peer_zone}"',
            f'address = "{address}"',
        ]
    return "\n".join(lines) + "\n"


def _accept_bundle(operator: str, key: Any) -> None:
    bundle = Bundle.model_validate(
        {"revision": 1, "models": {MODEL: {}}, "pools": {SERVICE_POOL: {"timeout_s": 5.0}}}
    )
    signed = sign_bundle(bundle, "ops", key)
    body = {
        "document": base64.b64encode(signed.document).decode(),
        "signer": "ops",
        "signature": base64.b64encode(signed.signature).decode(),
    }
    assert _call("POST", f"{operator}/v1/bundle", body)["revision"] == 1


def _wait_ready(operators: list[str]) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        statuses = [_call("GET", f"{operator}/v1/status") for operator in operators]
        if all(
            status["bundle_revision"] == 1
            and len(status["members"]) == len(operators)
            and sum(entry["status"] == "serving" for entry in status["back_ends"].values()) == 7
            for status in statuses
        ):
            return
        time.sleep(0.1)
    raise TimeoutError(f"the fleet did not become ready: {statuses}")


async def _train(
    processes: Processes, urls: list[str], store: str, config: TrainerConfig
) -> tuple[TrainerReport, LiveReport, list[int]]:
    exit_codes: list[int] = []
    weights = processes.address_of("weights")

    async def publish(version: int) -> None:
        await asyncio.to_thread(_call, "PUT", f"http://{weights}/weights/{MODEL}/{version}")

    async def inject(step: int) -> None:
        if step == 1:
            processes.stop("n4", signal.SIGKILL)
            processes.stop("engine0", signal.SIGKILL)
        if step == 2:
            _call("POST", f"http://{store}/faults", {"is_down": True})
        if step == 3:
            exit_codes.append(await asyncio.to_thread(processes.stop, "n3", signal.SIGTERM))

    callers = LiveCallers(urls)
    callers.start()
    trainer = TrainerStandin(config, urls, publish)
    training = await asyncio.wait_for(trainer.run(inject), timeout=150)
    return training, await callers.stop(), exit_codes


def test_training_survives_kills_store_outage_and_planned_stop(tmp_path: Path) -> None:
    config = TrainerConfig(num_steps=4, num_groups=4, group_size=4)
    with _processes(tmp_path) as processes:
        urls, store = _start_fleet(processes)
        training, live, exit_codes = asyncio.run(_train(processes, urls, store, config))
    assert len(training.delivered) == 4 * 16
    assert training.num_duplicated == training.num_incomplete_spans == training.num_stale == 0
    assert live.num_ok > 0 and live.num_wrong == 0
    assert exit_codes == [0], "a planned stop exits 0"


def test_port_in_use_ends_process_with_exit_status(tmp_path: Path) -> None:
    with _processes(tmp_path) as processes:
        processes.start("store", "standin", "config-store")
        used_address = processes.address_of("store")
        ports = [int(used_address.rpartition(":")[2]), *_free_ports(2)]
        platform = {"config_store": [], "machine_list": "http://x", "weight_store": "http://x"}
        text = _settings_text(tmp_path, "n0", "a", ports, platform, generate_key(), [])
        (tmp_path / "n0.toml").write_text(text)
        finished = subprocess.run(
            [*PROGRAM, "node", str(tmp_path / "n0.toml")],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
    assert finished.returncode == 22
    assert "listeners.callers" in finished.stderr and "102" in finished.stderr
