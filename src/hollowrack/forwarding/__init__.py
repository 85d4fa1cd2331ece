"""Transparent forwarding of requests to workers by host and path."""
