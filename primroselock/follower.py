"""Follows the configuration and derives the start permit from its age.

The follower reads the head row at an interval.  A read confirms the
version as of the moment *before* it was sent, on this process's
monotonic clock.  The process only ever moves to a newer version.
"""

import asyncio
import typing

import result

from primroselock import clock
from primroselock import configuration
from primroselock import logs
from primroselock import options
from primroselock import patches
from primroselock.platform import objects

_log: typing.Final = logs.get('configuration')


class ConfigurationFollower:
    """The newest configuration known here and when it was confirmed."""

    def __init__(
        self, settings: options.Settings, store: objects.Store
    ) -> None:
        self._settings = settings.configuration
        self._store = store
        self._content = patches.EMPTY
        self.current = configuration.EMPTY
        self.confirmed_at: float | None = None
        self.changed = asyncio.Event()

    def age_s(self, now: float) -> float:
        """Return the age of the confirmation; negative when never."""
        if self.confirmed_at is None:
            return -1.0
        return now - self.confirmed_at

    def permit_until(self) -> float:
        """Return until when tasks may start, on the monotonic clock."""
        if self.confirmed_at is None:
            return 0.0
        return self.confirmed_at + self._settings.start_permit_ttl_s

    def drop_confirmation(self) -> None:
        """Distrust what was confirmed, after a pause of this process."""
        self.confirmed_at = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._settings.poll_interval_s)

    async def poll(self) -> None:
        """Read the head once and move forward where it is newer."""
        before = clock.monotonic()
        loaded = await patches.load_present(self._store, self._content)
        if isinstance(loaded, result.Err):
            _log.warning('platform not read', detail=loaded.err_value.detail)
            return
        content = loaded.ok_value.content
        if content.version < self.current.version:
            _log.error('head went back', version=content.version)
            return
        if content.version > self.current.version:
            read = configuration.read(
                content.sections, content.version, 'platform'
            )
            if isinstance(read, result.Err):
                lines = [str(problem) for problem in read.err_value]
                _log.error('configuration not valid', problems=lines)
                return
            self.current = read.ok_value
            self.changed.set()
            _log.info('configuration in force', version=content.version)
        self._content = content
        self.confirmed_at = before
