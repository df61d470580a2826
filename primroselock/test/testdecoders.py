"""No decoder raises, whatever another party wrote.

A decoder is added by a line to the table of :mod:`platformdecoders` or of
:mod:`productdecoders`.
"""

import math
import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgspec
import result
from structlog import testing

from primroselock import decoding
from primroselock.test import decodercases
from primroselock.test import platformdecoders
from primroselock.test import productdecoders

_EXAMPLES: typing.Final = 40
_CASES: typing.Final = (*platformdecoders.CASES, *productdecoders.CASES)
_PARSERS_BY_NAME: typing.Final = {
    **platformdecoders.PARSERS_BY_NAME,
    **productdecoders.PARSERS_BY_NAME,
}
_ANY_CASE: typing.Final = strategies.sampled_from(_CASES)
_MIN_INTEGER: typing.Final = -(2**63)
_MAX_INTEGER: typing.Final = 2**64 - 1
"""Larger integers cannot be encoded in MessagePack."""

_JSON: typing.Final = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(_MIN_INTEGER, _MAX_INTEGER)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(strategies.characters(exclude_categories=['Cs'])),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(
                strategies.characters(exclude_categories=['Cs']), max_size=8
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


def list_unbounded(value: typing.Any) -> list[typing.Any]:
    """Return the numbers within a record that are out of all bounds."""
    if isinstance(value, result.Ok):
        return list_unbounded(value.ok_value)
    if isinstance(value, bool) or value is None:
        return []
    if isinstance(value, (int, float)):
        # Also false for a float that is no number.
        is_bounded = abs(value) <= decoding.MAX_NUMBER
        return [] if is_bounded and math.isfinite(value) else [value]
    if isinstance(value, dict):
        value = [*value.keys(), *value.values()]
    if isinstance(value, (list, tuple, set, frozenset)):
        return [odd for item in value for odd in list_unbounded(item)]
    if isinstance(value, (str, bytes, result.Err)):
        return []
    return list_unbounded(decodercases.list_fields(value))


class DecodersTest(unittest.TestCase):
    """Each decoder returns a bounded record or an error."""

    def _check(self, case: decodercases.Case, value: bytes) -> None:
        with testing.capture_logs():
            decoded = case.decode(value)
        self.assertEqual([], list_unbounded(decoded), case.name)

    def test_valid_messages_are_read(self) -> None:
        """The messages that the other tests distort are valid ones."""
        for case in _CASES:
            with self.subTest(case.name):
                decoded = case.decode(case.encode(case.valid))
                self.assertTrue(decodercases.is_record(decoded), decoded)

    def test_odd_values_in_every_place(self) -> None:
        """Guards against one odd field that ends what reads the message."""
        for case in _CASES:
            for odd in decodercases.list_distorted(case):
                with self.subTest(case.name, value=odd[:60], end=odd[-60:]):
                    self._check(case, odd)

    @hypothesis.settings(max_examples=_EXAMPLES * len(_CASES))
    @hypothesis.given(_ANY_CASE, strategies.binary(max_size=200))
    def test_any_bytes(self, case: decodercases.Case, value: bytes) -> None:
        self._check(case, value)

    @hypothesis.settings(max_examples=_EXAMPLES * len(_CASES))
    @hypothesis.given(_ANY_CASE, _JSON)
    def test_any_json(
        self, case: decodercases.Case, value: typing.Any
    ) -> None:
        self._check(case, msgspec.json.encode(value, order=None))

    @hypothesis.settings(max_examples=_EXAMPLES * len(_CASES))
    @hypothesis.given(_ANY_CASE, strategies.data())
    def test_any_json_in_any_place(
        self, case: decodercases.Case, data: strategies.DataObject
    ) -> None:
        paths = decodercases.list_paths(case.valid)
        path = data.draw(strategies.sampled_from(paths))
        odd = data.draw(_JSON)
        self._check(
            case,
            case.encode(decodercases.replace_at(case.valid, path, odd)),
        )


class TextsTest(unittest.TestCase):
    """Each parser of a text returns a bounded value or None."""

    def test_odd_texts(self) -> None:
        """Guards against a number in a text that cannot be converted."""
        for name, parse in _PARSERS_BY_NAME.items():
            for text in decodercases.ODD_TEXTS:
                with self.subTest(name, text=text[:40]):
                    with testing.capture_logs():
                        self.assertEqual([], list_unbounded(parse(text)))

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.sampled_from(sorted(_PARSERS_BY_NAME)),
        strategies.text(),
    )
    def test_any_text(self, name: str, text: str) -> None:
        with testing.capture_logs():
            parsed = _PARSERS_BY_NAME[name](text)
        self.assertEqual([], list_unbounded(parsed))


class CallsTest(unittest.TestCase):
    """Calls of callers, whose paths and headers may hold anything."""

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        strategies.text(),
        strategies.dictionaries(
            strategies.sampled_from(
                ['host', 'authorization', 'x-deadline-ms', 'content-length']
            ),
            strategies.binary(),
        ),
    )
    @hypothesis.example('/bulk/j1', {'host': b'['})
    @hypothesis.example('/bulk/j1', {'host': b'host:[', 'x': b'\xff'})
    @hypothesis.example('//[/', {})
    def test_any_path_and_headers(
        self, path: str, headers: dict[str, bytes]
    ) -> None:
        """Guards against a failed call where a refusal is due."""
        with testing.capture_logs():
            status = platformdecoders.call_api(
                platformdecoders.Intake(), b'{}', path, headers
            )
        self.assertIn(status, (400, 404))


class ReadersTest(unittest.TestCase):
    """The readers themselves."""

    def test_a_lack_of_memory_is_no_odd_input(self) -> None:
        """Guards against an exhausted process that calls its input odd."""

        def fail(value: bytes) -> None:
            raise MemoryError

        with self.assertRaises(MemoryError):
            decoding.attempt(fail, b'')

    def test_a_reason_is_short(self) -> None:
        """Guards against a log line as long as what could not be read."""

        def fail(value: bytes) -> None:
            raise ValueError('x' * 100_000)

        failed = decoding.attempt(fail, b'')
        self.assertLess(len(failed.unwrap_err()), 300)

    def test_addresses(self) -> None:
        for right in ('h:1', '10.0.0.1:65535', '[::1]:80', 'a-b.c_d:8080'):
            self.assertTrue(decoding.is_address(right), right)
        for wrong in (
            '',
            'h',
            ':80',
            'h:',
            'h:0',
            'h:65536',
            'h:99999',
            'h:abc',
            'h:' + '9' * 30,
            'h:+8',
            'h:8 ',
            'h:\u0661',
            'h/x:80',
            'u@h:80',
            'a b:80',
            'h\r\nX: y:80',
            '::1:80',
            'h' * 254 + ':80',
        ):
            self.assertFalse(decoding.is_address(wrong), wrong)


if __name__ == '__main__':
    unittest.main()
