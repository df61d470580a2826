"""Works out the tables of docs/CAPACITY.md from measured slopes.

``python -m tools.capacity docs/slopes.json`` reads what
``python -m tools.slopes --output json`` has written and prints Markdown.
"""
