"""Demos, benchmarks and soak tests, which run the product against the stand-ins."""
