"""Addresses as texts."""


def split_address(address: str) -> tuple[str, int]:
    """Split a checked ``IP:PORT`` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
