"""What one side of a connection between daemons may send."""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from primroselock import connectionlimits
from primroselock.mesh import framing
from primroselock.test import meshcrowds

_MOST: typing.Final = 1_000
_Cause = connectionlimits.Cause
_START: typing.Final = meshcrowds.greeting() + meshcrowds.ready(b'DEALER')


def _read(data: bytes, size: int = 0) -> tuple[_Cause | None, framing.Reader]:
    """Follow ``data``, in pieces of ``size``; the other side is ready."""
    reader = framing.Reader(_MOST, lambda: reader.is_ready)
    for at in range(0, len(data), size or len(data) or 1):
        cause = reader.read(data[at : at + (size or len(data))])
        if cause is not None:
            return cause, reader
    return None, reader


def _ready(fields: bytes) -> bytes:
    return meshcrowds.greeting() + meshcrowds.frame(b'\x05READY' + fields, 4)


class FramingTest(unittest.TestCase):
    """Frames, and what ends a connection."""

    def test_messages_are_counted_once_they_have_ended(self) -> None:
        body = b'x' * 400
        data = _START + meshcrowds.frame(body) + meshcrowds.frame(b'')
        for size in (0, 1, 7):
            cause, reader = _read(data + meshcrowds.frame(body)[:-1], size)
            self.assertIsNone(cause)
            self.assertTrue(reader.is_open)
            self.assertEqual(2, reader.messages)
            self.assertEqual(400, reader.message_bytes)
            self.assertEqual(399, reader.unfinished_bytes)

    def test_what_ends_a_connection(self) -> None:
        most = _MOST + framing.FRAME_OVERHEAD_BYTES
        greeting = meshcrowds.greeting()
        named = b'\x08Identity\x00\x00\x00\x01x'
        hiding = b'\x01A\x00\x00\x00\x0d\x08identity' + bytes(4)
        cases: tuple[tuple[bytes, _Cause], ...] = (
            (b'GET / HTTP/1.1\r\n', _Cause.MALFORMED),
            (b'\xff' + bytes(9), _Cause.MALFORMED),
            (greeting[:10] + b'\x02', _Cause.MALFORMED),
            (greeting + meshcrowds.frame(b'early'), _Cause.MALFORMED),
            (_ready(named), _Cause.MALFORMED),
            (_ready(b'\x08Identity' + bytes(4) + named), _Cause.MALFORMED),
            (_ready(hiding + named), _Cause.MALFORMED),
            (
                greeting + meshcrowds.start_of_command(2**40),
                _Cause.HEAD_TOO_LARGE,
            ),
            (
                greeting + meshcrowds.frame(b'\x04PING' * 20, 4) * 100,
                _Cause.HEAD_TOO_LARGE,
            ),
            (_START + meshcrowds.part(b''), _Cause.BODY_MALFORMED),
            (
                _START + meshcrowds.start_of_frame(most + 1),
                _Cause.MESSAGE_TOO_LARGE,
            ),
            (
                _START + meshcrowds.frame(b'x') + b'\x06' + bytes([1] * 8),
                _Cause.MESSAGE_TOO_LARGE,
            ),
        )
        for data, expected in cases:
            for size in (0, 1):
                with self.subTest(data=data[:90], size=size):
                    self.assertEqual(expected, _read(data, size)[0])

    def test_what_a_peer_sends_is_served(self) -> None:
        named = b'\x0bSocket-Type\x00\x00\x00\x06DEALER'
        empty = named + b'\x08Identity' + bytes(4)
        most = _MOST + framing.FRAME_OVERHEAD_BYTES
        for data in (
            _ready(empty) + meshcrowds.frame(b'x' * most),
            _START + meshcrowds.frame(b'\x04PING\x00\x00', 4),
            _START + b'\x02' + (5).to_bytes(8, 'big') + b'short',
        ):
            for size in (0, 1):
                self.assertIsNone(_read(data, size)[0])

    @hypothesis.given(strategies.binary(), strategies.integers(1, 20))
    def test_any_bytes_in_any_pieces(self, data: bytes, size: int) -> None:
        """The pieces do not matter, and little is kept."""
        for start in (b'', meshcrowds.greeting(), _START):
            whole, _ = _read(start + data)
            cause, reader = _read(start + data, size)
            self.assertEqual(whole, cause)
            self.assertLessEqual(len(reader._body), len(data) + 100)


if __name__ == '__main__':
    unittest.main()
