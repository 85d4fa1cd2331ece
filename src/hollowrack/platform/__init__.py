"""Adapter to the users' platform: names, data formats and API calls, without policy."""
