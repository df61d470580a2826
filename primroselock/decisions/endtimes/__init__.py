"""Decides by when work would end on the worker that would run it."""
