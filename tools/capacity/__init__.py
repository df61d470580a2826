"""Computes the tables of docs/CAPACITY.md from measured slopes.

``python -m tools.capacity docs/slopes.json`` reads the output of
``python -m tools.slopes --output json`` and prints Markdown.
"""
