"""Decides what is stopped for whom, by what both sides lose."""
