"""Requests that end the workers which run them: recognised, told to all nodes, and refused."""
