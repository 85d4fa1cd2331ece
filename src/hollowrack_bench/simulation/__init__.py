"""Simulated fleets: node cores on virtual time, with an in-memory network and platform."""
