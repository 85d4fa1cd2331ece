"""Structured logging, metrics, log search and decision records."""
