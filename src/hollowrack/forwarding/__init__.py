"""Reverse proxy that routes requests to workers by host and path."""
