"""Moves workers onto the weight versions that trainers name."""
