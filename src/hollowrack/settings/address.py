"""Addresses in settings."""


def split_address(address: str) -> tuple[str, int]:
    """Split a valid ``IP:PORT`` address into host, without brackets, and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
