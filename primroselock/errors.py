"""Errors that end a command, each with its exit code.

Expected failures are returned as ``result.Err`` of a typed record of their
layer.  The exceptions here end a process or a command with a short message.
"""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the program.

    ``REFUSED``: the gateway refused the request, or a second signal ended a
    daemon.  ``USAGE``: wrong arguments, settings or input.
    ``UNREACHABLE``: no answer, a server error, a version not confirmed, an
    address that cannot be bound, or an interrupt.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3


class CommandError(Exception):
    """Ends a command; ``lines`` go to standard error without a traceback."""

    def __init__(self, exit_code: ExitCode, *lines: str) -> None:
        super().__init__('; '.join(lines))
        self.exit_code = exit_code
        self.lines = lines
