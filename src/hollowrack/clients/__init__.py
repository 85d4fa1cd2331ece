"""Clients of the configuration store, the machine list, engines and service workers."""
