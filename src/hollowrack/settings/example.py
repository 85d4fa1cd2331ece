"""Generator of the example settings file, with comments, from the settings model."""

from typing import Any, get_args, get_origin

from pydantic import BaseModel

from hollowrack.settings.model import NodeSettings, Peer

_EXAMPLE_VALUES = {
    "node": '"buc-a-1"',
    "zone": '"buc-a"',
    "region": '"bucharest"',
    "cluster_key_file": '"cluster.key"',
    "trusted_signers": '{ night-shift = "<64 hexadecimal digits>" }',
    "data_dir": '"data"',
    "listeners.callers": '"127.0.0.1:7100"',
    "listeners.operators": '"127.0.0.1:7101"',
    "listeners.nodes": '"127.0.0.1:7102"',
    "platform.config_store": '["http://127.0.0.1:7200"]',
    "platform.machine_list": '"http://127.0.0.1:7201/targets"',
    "platform.weight_store": '"http://127.0.0.1:7202"',
    "peers.node": '"buc-b-1"',
    "peers.zone": '"buc-b"',
    "peers.address": '"127.0.0.1:7112"',
}


def example_settings() -> str:
    """Return a settings file (TOML) that sets every key and has a comment on each."""
    top_level: list[str] = []
    sections: list[str] = []
    for name, field in NodeSettings.model_fields.items():
        annotation: Any = field.annotation
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            sections += [
                "",
                f"# {field.description}",
                f"[{name}]",
                *_section_lines(annotation, f"{name}."),
            ]
        elif get_origin(annotation) is tuple and Peer in get_args(annotation):
            sections += [
                "",
                f"# {field.description}",
                f"[[{name}]]",
                *_section_lines(Peer, f"{name}."),
            ]
        else:
            top_level += _key_lines(name, name, field.description, field.default)
    return "\n".join(top_level + sections) + "\n"


def _section_lines(model: type[BaseModel], prefix: str) -> list[str]:
    lines: list[str] = []
    for name, field in model.model_fields.items():
        lines += _key_lines(name, prefix + name, field.description, field.default)
    return lines


def _key_lines(name: str, path: str, description: str | None, default: object) -> list[str]:
    value = _EXAMPLE_VALUES.get(path)
    if value is None:
        value = f'"{default}"' if isinstance(default, str) else str(default)
    return [f"# {description}", f"{name} = {value}"]
