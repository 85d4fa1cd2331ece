"""Clients of the platform: configuration store, machine list, weight store and engines."""
