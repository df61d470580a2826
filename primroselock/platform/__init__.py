"""Adapters to the platform's table, object store and VM list."""
