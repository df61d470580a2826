"""What one side of a ZeroMQ connection sends, cut into frames (ZMTP 3).

The library keeps the parts of an unfinished message without a bound, and
knows none for a handshake.  So what arrives is checked here before the
library sees it: a greeting, a short handshake of commands, then messages of
one frame each, as the daemons send them.
"""

from collections import abc
import typing

from primroselock import connectionlimits

MAX_HANDSHAKE_BYTES: typing.Final = 8_192
"""What may arrive before the handshake has ended."""

MAX_COMMAND_BYTES: typing.Final = 1_024
"""The size of a later command, such as a heartbeat."""

FRAME_OVERHEAD_BYTES: typing.Final = 64
"""What encryption may add to a message."""

_GREETING_BYTES: typing.Final = 64
_SIGNATURE_BYTES: typing.Final = 10
_VERSION_AT: typing.Final = 10
_LEAST_VERSION: typing.Final = 3
_SHORT_HEADER_BYTES: typing.Final = 2
_LONG_HEADER_BYTES: typing.Final = 9
_MORE: typing.Final = 1
_LONG: typing.Final = 2
_COMMAND: typing.Final = 4
_READY: typing.Final = b'\x05READY'
_IDENTITY: typing.Final = b'\x08identity'
_NO_SIZE: typing.Final = bytes(4)

Cause = connectionlimits.Cause


class Reader:
    """Follows what one side sends; keeps a handshake, but no message.

    ``may_open`` says whether the handshake has ended, by what both sides
    have sent; once it has, ``is_open`` is true.
    ``unfinished_bytes`` is what arrived of a message that has not ended.
    ``messages`` and ``message_bytes`` count those that have, ``commands``
    also the commands.
    """

    def __init__(
        self, max_message_bytes: int, may_open: abc.Callable[[], bool]
    ) -> None:
        self._may_open = may_open
        self._max_frame_bytes = max_message_bytes + FRAME_OVERHEAD_BYTES
        self.is_open = False
        self.is_ready = False
        self.unfinished_bytes = 0
        self.messages = 0
        self.message_bytes = 0
        self.commands = 0
        self._greeting = b''
        self._header = bytearray()
        self._is_command = False
        self._body = bytearray()
        self._left = 0
        self._handshake_bytes = 0

    @property
    def has_signature(self) -> bool:
        """Whether the other side has said that it speaks ZeroMQ."""
        return len(self._greeting) >= _SIGNATURE_BYTES

    def read(self, data: bytes) -> Cause | None:
        """Follow ``data``; return why the connection must end, if so."""
        at = 0
        if len(self._greeting) < _GREETING_BYTES:
            at = _GREETING_BYTES - len(self._greeting)
            self._greeting += data[:at]
            if not self._is_greeting_sound():
                return Cause.MALFORMED
        while at < len(data):
            if self._left:
                at, cause = self._read_body(data, at)
            else:
                at, cause = self._read_header(data, at)
            if cause is not None:
                return cause
        self._judge()
        return None

    def note_other_side(self) -> None:
        """Judge whether the handshake has ended by what the other sent.

        A frame that has begun is read by the rules under which it began.
        """
        if not self._left:
            self._judge()

    def _judge(self) -> None:
        self.is_open = self.is_open or self._may_open()

    def _is_greeting_sound(self) -> bool:
        known = self._greeting
        return (
            known[:1] in (b'', b'\xff')
            and known[_SIGNATURE_BYTES - 1 : _SIGNATURE_BYTES]
            in (b'', b'\x7f')
            and (
                len(known) <= _VERSION_AT
                or known[_VERSION_AT] >= _LEAST_VERSION
            )
        )

    def _read_header(self, data: bytes, at: int) -> tuple[int, Cause | None]:
        """Read flags and size of a frame, as far as they arrived."""
        header = self._header
        if not header:
            header.append(data[at])
            at += 1
        is_long = header[0] & _LONG
        size = _LONG_HEADER_BYTES if is_long else _SHORT_HEADER_BYTES
        step = min(size - len(header), len(data) - at)
        header += data[at : at + step]
        if len(header) == size:
            cause = self._begin_frame(header[0], header[1:])
            self._header = bytearray()
            return at + step, cause
        return at + step, None

    def _begin_frame(self, flags: int, size: bytearray) -> Cause | None:
        self._left = int.from_bytes(size, 'big')
        self._is_command = bool(flags & _COMMAND)
        self._body = bytearray()
        if flags & _MORE:
            return Cause.BODY_MALFORMED
        cause = self._check_size()
        if cause is None and not self._left:
            return self._end_frame(0)
        return cause

    def _check_size(self) -> Cause | None:
        self._judge()
        if self._is_command and not self.is_open:
            self._handshake_bytes += self._left + _SHORT_HEADER_BYTES
            is_large = self._handshake_bytes > MAX_HANDSHAKE_BYTES
            return Cause.HEAD_TOO_LARGE if is_large else None
        if self._is_command:
            is_large = self._left > MAX_COMMAND_BYTES
        elif not self.is_open:
            return Cause.MALFORMED
        else:
            is_large = self._left > self._max_frame_bytes
        return Cause.MESSAGE_TOO_LARGE if is_large else None

    def _read_body(self, data: bytes, at: int) -> tuple[int, Cause | None]:
        step = min(self._left, len(data) - at)
        self._left -= step
        self.unfinished_bytes += step
        if self._is_command and not self.is_open:
            self._body += data[at : at + step]
        if not self._left:
            return at + step, self._end_frame(self.unfinished_bytes)
        return at + step, None

    def _end_frame(self, size: int) -> Cause | None:
        self.unfinished_bytes = 0
        if not self._is_command:
            self.messages += 1
            self.message_bytes += size
            return None
        self.commands += 1
        if not self.is_open and self._body.startswith(_READY):
            self.is_ready = True
            # The library keeps, unread, what a second connection of the
            # same name sends.
            if _has_name(bytes(self._body)):
                return Cause.MALFORMED
        return None


def _has_name(ready: bytes) -> bool:
    """Return whether the sender of a command names its connection."""
    known = ready.lower()
    at = known.find(_IDENTITY)
    while at >= 0:
        # Any place counts: it may stand in the value of another property,
        # or be named again.
        size_at = at + len(_IDENTITY)
        if known[size_at : size_at + len(_NO_SIZE)] != _NO_SIZE:
            return True
        at = known.find(_IDENTITY, at + 1)
    return False
