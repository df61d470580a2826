"""Sorts import lines in the order that the H306 lint rule requires.

The rule compares full dotted names for both ``import a.b`` and
``from a import b``; the import sorting of the formatters cannot be
configured to do so.
"""

import pathlib
import re
import sys
import typing

_IMPORT: typing.Final = re.compile(
    r'^(?:import (?P<name>\S+)|from (?P<package>\S+) import (?P<member>\S+))'
    r'(?: as \S+)?$'
)


def full_name(line: str) -> str | None:
    """Return the dotted name that ``line`` imports, or None."""
    match = _IMPORT.match(line)
    if match is None:
        return None
    if match['name']:
        return match['name'].lower()
    return f'{match["package"]}.{match["member"]}'.lower()


def sort_text(text: str) -> str:
    """Return ``text`` with each run of import lines sorted."""
    lines = text.split('\n')
    start = 0
    while start < len(lines):
        end = start
        while end < len(lines) and full_name(lines[end]) is not None:
            end += 1
        lines[start:end] = sorted(
            lines[start:end], key=lambda line: full_name(line) or ""
        )
        start = end + 1
    return '\n'.join(lines)


def main() -> None:
    """Sort the imports of every module below the folders given."""
    for folder in sys.argv[1:]:
        for path in pathlib.Path(folder).rglob('*.py'):
            text = path.read_text(encoding='utf-8')
            changed = sort_text(text)
            if changed != text:
                path.write_text(changed, encoding='utf-8')


if __name__ == '__main__':
    main()
