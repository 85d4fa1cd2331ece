"""Capacity: the number of workers per service and zone, ordered from the platform."""
