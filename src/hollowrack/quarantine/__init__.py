"""Quarantine of requests that crash the workers which run them."""
