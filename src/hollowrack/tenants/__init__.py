"""Tenants and the authentication of their requests."""
