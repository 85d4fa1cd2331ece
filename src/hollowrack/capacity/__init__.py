"""Capacity: how many workers a service has in each zone, ordered from the platform."""
