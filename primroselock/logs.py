"""Structured logs: one event a line on standard error.

A daemon's first event after its sockets are bound is ``listening`` with
the bound addresses; whoever started it with port 0 reads them there.
"""

import logging
import sys

import structlog


def configure(log_format: str) -> None:
    """Set up structlog; ``log_format`` is ``json`` or ``console``."""
    renderer: structlog.typing.Processor
    if log_format == 'json':
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def get(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger whose events carry ``source=name``."""
    # Binding here would freeze the set-up from before ``configure``.
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        source=name
    )
    return logger
