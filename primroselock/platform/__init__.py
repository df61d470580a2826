"""Adapter to the platform: its names, formats and calls; no decisions."""
