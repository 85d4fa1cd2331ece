"""Typed messages between nodes: registration, encoding and transport."""
