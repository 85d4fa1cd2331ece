"""Hollow fleets: the daemon's node cores on virtual time, with memory in place of sockets."""
