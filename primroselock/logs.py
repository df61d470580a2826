"""Structured logs: one event on each line, rate limited.

A daemon's first event after its sockets are bound is ``listening`` with
the bound addresses; a parent process that chose port 0 reads them there.

The lines of each event are rate limited; those beyond the limit are
dropped and counted in the event's next line.  Standard output is written
without blocking: a line that it cannot accept at once is dropped too, and
counted in the next one that it accepts.  Writing to standard error may
block.
"""

import logging
import os
import sys
import time
import typing

import structlog

_LINES_PER_S: typing.Final = 40.0
_BURST_LINES: typing.Final = 200.0


class _EventRateLimiter:
    """Drops lines of an event that occurs too often; a token bucket."""

    def __init__(self) -> None:
        self._tokens_by_event: dict[str, tuple[float, float, int]] = {}

    def __call__(
        self,
        logger: typing.Any,
        name: str,
        event: structlog.typing.EventDict,
    ) -> structlog.typing.EventDict:
        """Pass ``event`` on, or drop it."""
        now = time.monotonic()
        key = str(event.get('event', ''))
        tokens, refilled_at, dropped = self._tokens_by_event.get(
            key, (_BURST_LINES, now, 0)
        )
        tokens = min(_BURST_LINES, tokens + (now - refilled_at) * _LINES_PER_S)
        if tokens < 1:
            self._tokens_by_event[key] = (tokens, now, dropped + 1)
            raise structlog.DropEvent
        self._tokens_by_event[key] = (tokens - 1, now, 0)
        if dropped:
            event['dropped'] = dropped
        return event


class _Output:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line, or count it as dropped."""
        if self._dropped_lines:
            message = (
                f'{message}\n{{"event": '
                f'"lines dropped: {self._dropped_lines}"}}'
            )
        try:
            os.write(self._descriptor, message.encode() + b'\n')
            self._dropped_lines = 0
        except OSError:
            # The reader is slow or has ended; there is no other output.
            self._dropped_lines += 1

    log = debug = info = warning = warn = error = critical = exception = msg


class _OutputFactory:
    """Returns the same output for every logger."""

    def __init__(self, descriptor: int) -> None:
        self._output = _Output(descriptor)

    def __call__(self, *args: typing.Any) -> _Output:
        return self._output


def configure(log_format: str, to_stdout: bool = False) -> None:
    """Set up structlog; ``log_format`` is ``json`` or ``console``.

    Lines go to standard error, or with ``to_stdout`` to standard output,
    without blocking.
    """
    renderer: structlog.typing.Processor
    if log_format == 'json':
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    factory: typing.Any = structlog.PrintLoggerFactory(sys.stderr)
    if to_stdout:
        factory = _OutputFactory(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            _EventRateLimiter(),
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=factory,
    )


def get(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger whose events carry ``source=name``."""
    # ``bind()`` would use the configuration from before ``configure``.
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        source=name
    )
    return logger
