"""Typed messages between nodes, their encoding and their transport."""
