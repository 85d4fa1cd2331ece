"""Regions of zones, and the regions in which a request may be served."""
