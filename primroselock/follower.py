"""The newest configuration known to this process, and its start permit.

A confirmation states that a version was the newest at a time on this
process's monotonic clock.  That time is a lower bound: the time before a
read was sent or, if a peer relayed it, the time before the peer was
queried minus the age of the peer's own confirmation when it answered.  The
permit to start tasks ends ``start_permit_ttl_s`` after that time.  The
process only changes to newer versions.
"""

import asyncio
import collections
import typing

import result

from primroselock import clock
from primroselock import configuration
from primroselock import ini
from primroselock import logs
from primroselock.mesh import messages
from primroselock import options
from primroselock import patches
from primroselock.store import objects

_MAX_RETAINED_PATCHES: typing.Final = 64
"""A peer that lacks more patches gets the complete sections."""

_log: typing.Final = logs.get('configuration')


class ConfigurationFollower:
    """Follows the configuration by platform reads and peers' replies.

    ``serving`` becomes True once the configuration is recent enough to
    serve calls, or by :meth:`serve_unconfirmed`, and remains so.
    ``confirmed_at`` is on the monotonic clock, None without a confirmation.
    ``source`` of the current version is ``none``, ``platform`` or ``peer``.
    ``changed`` is set with each new version.
    """

    def __init__(
        self, settings: options.Settings, store: objects.Store
    ) -> None:
        self._settings = settings.configuration
        self._store = store
        self._content = patches.EMPTY
        self._patches_by_version: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._is_platform_reachable: bool | None = None
        self.current = configuration.EMPTY
        self.confirmed_at: float | None = None
        self.changed = asyncio.Event()
        self.serving = False
        self.source = 'none'

    def age_s(self, now: float) -> float:
        """Return the confirmation's age in seconds; -1 if there is none."""
        if self.confirmed_at is None:
            return -1.0
        return now - self.confirmed_at

    def permit_until(self) -> float:
        """Return the time until which tasks may start.

        It is on the monotonic clock, and 0 without a confirmation.
        """
        if self.confirmed_at is None:
            return 0.0
        return self.confirmed_at + self._settings.start_permit_ttl_s

    def drop_confirmation(self) -> None:
        """Invalidate the confirmation, after a pause of this process."""
        self.confirmed_at = None

    async def poll(self) -> bool:
        """Load the current version once; return whether that succeeded.

        A version that is loaded but invalid counts as a success.
        """
        sent_at = clock.monotonic()
        loaded = await patches.load_current(self._store, self._content)
        if isinstance(loaded, result.Err):
            self._log_platform_state(False, loaded.err_value.detail)
            return False
        self._log_platform_state(True)
        content = loaded.ok_value.content
        if self._advance(content, 'platform'):
            self._confirm(content.version, sent_at)
            self.serving = True
        return True

    def _log_platform_state(self, answered: bool, detail: str = '') -> None:
        """Log only when the platform's state changes."""
        if answered == self._is_platform_reachable:
            return
        self._is_platform_reachable = answered
        if answered:
            _log.info('platform reachable')
        else:
            _log.warning(
                'platform unreachable; the known configuration stays in force',
                detail=detail,
            )

    def answer(
        self, query: messages.ConfigQuery, now: float
    ) -> messages.ConfigReply:
        """Return the version known here, and what the peer lacks of it."""
        version = self._content.version
        age_s = self.age_s(now)
        if query.version >= version:
            return messages.ConfigReply(query.number, version, age_s)
        missing = range(query.version + 1, version + 1)
        if all(n in self._patches_by_version for n in missing):
            texts = tuple(self._patches_by_version[n] for n in missing)
            return messages.ConfigReply(query.number, version, age_s, texts)
        return messages.ConfigReply(
            query.number,
            version,
            age_s,
            sections=self._content.sections,
        )

    def apply_reply(
        self, reply: messages.ConfigReply, sent_at: float, now: float
    ) -> None:
        """Apply a peer's reply to a query sent at ``sent_at``.

        Both times are on the monotonic clock.
        """
        content = self._read_reply(reply)
        # An older version: the patches do not follow the version known here.
        if content is None or content.version < reply.version:
            return
        if not self._advance(content, 'peer'):
            return
        if reply.age_s >= 0:
            self._confirm(reply.version, sent_at - reply.age_s)
            if now < self.permit_until():
                self.serving = True

    def _read_reply(
        self, reply: messages.ConfigReply
    ) -> patches.Content | None:
        """Return the content after a reply, or None if it is invalid."""
        if reply.sections is not None:
            return patches.Content(reply.version, reply.sections)
        content = self._content
        first = reply.version - len(reply.texts) + 1
        for version, text in enumerate(reply.texts, first):
            if version != content.version + 1:
                continue
            parsed = ini.parse(text, 'peer')
            if isinstance(parsed, result.Err):
                _log.error(
                    'patch from a peer is invalid; its reply is ignored',
                    version=version,
                )
                return None
            sections = configuration.merge(content.sections, parsed.ok_value)
            content = patches.Content(version, sections)
        return content

    def serve_unconfirmed(self) -> None:
        """Serve with the peers' version while the platform is unreachable."""
        if self.serving or not self._content.version:
            return
        self.serving = True
        _log.warning(
            'configuration not confirmed since the start; '
            "serving with the peers' version, no task starts",
            version=self._content.version,
        )

    def _advance(self, content: patches.Content, source: str) -> bool:
        """Apply ``content`` if it is newer; return False if it is invalid.

        A version that is not newer is not checked.
        """
        if content.version <= self._content.version:
            return True
        read = configuration.read(content.sections, content.version, source)
        if isinstance(read, result.Err):
            lines = [str(problem) for problem in read.err_value]
            _log.error(
                'configuration invalid; the previous version stays in force',
                problems=lines,
            )
            return False
        self._retain_patch(content)
        self._content = content
        self.current = read.ok_value
        self.source = source
        self.changed.set()
        _log.info(
            'configuration applied', version=content.version, source=source
        )
        return True

    def _retain_patch(self, content: patches.Content) -> None:
        """Retain the patch to ``content``, for peers that lack it."""
        if content.version != self._content.version + 1:
            self._patches_by_version.clear()
            return
        changes = configuration.difference(
            self._content.sections, content.sections
        )
        text = configuration.to_text(changes)
        self._patches_by_version[content.version] = text
        if len(self._patches_by_version) > _MAX_RETAINED_PATCHES:
            self._patches_by_version.popitem(last=False)

    def _confirm(self, version: int, as_of: float) -> None:
        """Record that ``version`` was the newest at ``as_of``.

        A confirmation of an older version has no effect.
        """
        if version < self._content.version:
            return
        if self.confirmed_at is None or as_of > self.confirmed_at:
            self.confirmed_at = as_of
