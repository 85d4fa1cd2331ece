"""Usage: how many requests of each tenant workers began, reported window by window."""
