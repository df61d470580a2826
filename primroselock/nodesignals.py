"""Signals to a node while it starts.

The event loop handles signals only once the program is loaded; before that
their default would end the process, also for SIGHUP.  A signal that is
blocked is delivered once it is unblocked.
"""

import os
import signal
import typing


def prepare() -> None:
    """Exit at once on SIGTERM; keep SIGHUP until :func:`deliver`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: typing.Any) -> None:
    # An exception would be lost in a callback, as of a module's import.
    os._exit(0)


def deliver() -> None:
    """Deliver signals to the handlers that the event loop has now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
