"""Evacuated zones, whose workers get no new requests."""
