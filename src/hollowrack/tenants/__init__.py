"""Tenants: whose a request is, and how that is proved."""
