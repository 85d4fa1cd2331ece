"""The settings of one node, read from a file and environment variables."""

from pathlib import Path

from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict

from hollowrack.settings.sections import Limits, Listeners, Logging, Name, Peer, Platform


class NodeSettings(BaseSettings):
    """Everything a node needs to start. Environment variables: ``HOLLOWRACK_<KEY>``."""

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
