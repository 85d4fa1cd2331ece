"""Execution of callers' requests: states, dispatch, retries, stored answers and claims."""
