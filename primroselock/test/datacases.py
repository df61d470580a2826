"""Reads test cases from the files of test-data.

A case is a line ``-- case NAME --``, the input, a line ``-- out --`` and the
expected output.  Empty lines around both are dropped.
"""

import dataclasses
import pathlib
import re
import typing

_FOLDER: typing.Final = (
    pathlib.Path(__file__).resolve().parent.parent.parent / 'test-data'
)
_CASE: typing.Final = re.compile(r'^-- case (\S+) --$', re.MULTILINE)
_OUT: typing.Final = '\n-- out --\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A named input and the output that it must give."""

    name: str
    given: str
    expected: str


def load(file_name: str) -> list[Case]:
    """Return the cases of a file of test-data, in their order."""
    text = (_FOLDER / file_name).read_text(encoding='utf-8')
    parts = _CASE.split(text)[1:]
    cases = []
    for name, body in zip(parts[::2], parts[1::2], strict=True):
        given, _, expected = body.partition(_OUT)
        cases.append(Case(name, given.strip('\n'), expected.strip('\n')))
    return cases
