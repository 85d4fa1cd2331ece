"""Bundles: signed, versioned configuration of the fleet by its operators."""
