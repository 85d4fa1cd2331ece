"""Pydantic model of a node's settings: keys, defaults, validation and descriptions."""

import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field
from pydantic_settings import BaseSettings, SettingsConfigDict

from hollowrack.settings.sections import Logging, Section

MIN_TRUSTED_KEY_LENGTH = 64


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("must be IP:PORT, for example 127.0.0.1:7100")
    ipaddress.ip_address(host.strip("[]"))
    max_port = 65535
    if not port.isdigit() or int(port) > max_port:
        raise ValueError("the port must be a number from 0 to 65535")
    return value


def _check_name(value: str) -> str:
    if not value or not all(char.isalnum() or char in "-_." for char in value):
        raise ValueError("must consist of letters, digits, '-', '_' and '.'")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, AfterValidator(_check_name)]


class Listeners(Section):
    """Listen addresses of a node."""

    callers: Address = Field(description="Callers and trainers: HTTP.")
    operators: Address = Field(description="Operators and metrics scrapers: HTTP.")
    nodes: Address = Field(description="Other nodes: the internal protocol, TCP.")


class Peer(Section):
    """Another node that this node knows at startup."""

    node: Name = Field(description="The other node's name.")
    zone: Name = Field(description="The other node's zone.")
    address: Address = Field(description="The other node's listeners.nodes address.")


class Platform(Section):
    """URLs of the platform's services."""

    config_store: tuple[str, ...] = Field(
        description="Base URLs of the configuration store (etcd v3 JSON gateway)."
    )
    machine_list: str = Field(description="URL of the machine list (HTTP service discovery JSON).")
    weight_store: str = Field(description="Base URL of the weight store.")


class Limits(Section):
    """Limits that bound the node's memory."""

    max_body_bytes: int = Field(
        default=1_048_576, ge=1024, description="Longest accepted request body, in bytes."
    )
    max_connections: int = Field(
        default=4096, ge=16, description="Most caller connections open at once."
    )
    max_requests: int = Field(default=1024, ge=1, description="Most caller requests at once.")
    request_read_timeout_s: float = Field(
        default=10.0, gt=0, description="Longest time for a caller to send a request, in seconds."
    )
    max_answers: int = Field(
        default=4096, ge=16, description="Most finished answers kept for reading again."
    )


class NodeSettings(BaseSettings):
    """Settings of a node.

    Environment variables are named ``HOLLOWRACK_<KEY>``, for a key of a section
    ``HOLLOWRACK_<SECTION>__<KEY>``.
    """

    model_config = SettingsConfigDict(
        extra="forbid",
        frozen=True,
        env_prefix="HOLLOWRACK_",
        env_nested_delimiter="__",
    )

    node: Name = Field(description="Name of this node, unique in the fleet.")
    zone: Name = Field(description="Zone of this node.")
    region: Name = Field(default="default", description="Region of the zone.")
    cluster_key_file: Path = Field(
        description="File with the key all nodes share: 64 hexadecimal digits."
    )
    listeners: Listeners = Field(description="Addresses to listen on.")
    platform: Platform = Field(description="Addresses of the platform's services.")
    trusted_signers: dict[str, str] = Field(
        default_factory=dict,
        description="Names and Ed25519 public keys (hexadecimal) of bundle signers.",
    )
    peers: tuple[Peer, ...] = Field(default=(), description="Nodes known from the start.")
    data_dir: Path | None = Field(
        default=None, description="Folder for bulk data and journals; without it: memory only."
    )
    limits: Limits = Field(default_factory=Limits, description="Bounds that protect memory.")
    logging: Logging = Field(default_factory=Logging, description="How to log.")
