"""The newest configuration known to this process, and until when it may
start tasks on the strength of it.

A confirmation says that a version was the newest as of a moment on this
process's monotonic clock, never later than the truth: the moment before
a read was sent, or, relayed, before a peer was asked, less the age that
the peer's own confirmation had when it answered.  The start permit ends
``start_permit_ttl_s`` after that moment.  The process only ever moves to
a newer version.
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

_KEPT_TEXTS: typing.Final = 64
_log: typing.Final = logs.get('configuration')


class ConfigurationFollower:
    """Moves forward by platform reads and by what peers hold.

    ``serving`` is false until the configuration is known well enough to
    serve by; ``changed`` is set at each move.
    """

    def __init__(
        self, settings: options.Settings, store: objects.Store
    ) -> None:
        self._settings = settings.configuration
        self._store = store
        self._content = patches.EMPTY
        self._texts_by_version: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._platform_ok: bool | None = None
        self.current = configuration.EMPTY
        self.confirmed_at: float | None = None
        self.changed = asyncio.Event()
        self.serving = False
        self.source = 'none'

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

    async def poll(self) -> bool:
        """Read the head once; return whether the platform answered."""
        before = clock.monotonic()
        loaded = await patches.load_current(self._store, self._content)
        if isinstance(loaded, result.Err):
            self._note_platform(False, loaded.err_value.detail)
            return False
        self._note_platform(True)
        content = loaded.ok_value.content
        if self._advance(content, 'platform'):
            self._confirm(content.version, before)
            self.serving = True
        return True

    def _note_platform(self, answered: bool, detail: str = '') -> None:
        """Log only when the platform's state changes."""
        if answered == self._platform_ok:
            return
        self._platform_ok = answered
        if answered:
            _log.info('platform read')
        else:
            _log.warning('platform not read', detail=detail)

    def answer(
        self, question: messages.ConfigQuery, now: float
    ) -> messages.ConfigReply:
        """Return what is held here, and what the asker lacks of it."""
        version = self._content.version
        age_s = self.age_s(now)
        if question.version >= version:
            return messages.ConfigReply(question.number, version, age_s)
        lacking = range(question.version + 1, version + 1)
        if all(number in self._texts_by_version for number in lacking):
            texts = tuple(self._texts_by_version[n] for n in lacking)
            return messages.ConfigReply(question.number, version, age_s, texts)
        return messages.ConfigReply(
            question.number,
            version,
            age_s,
            sections=self._content.sections,
        )

    def record_answer(
        self, answer: messages.ConfigReply, asked_at: float, now: float
    ) -> None:
        """Take over what a peer answered to a question of ``asked_at``."""
        content = self._read_answer(answer)
        if content is None or content.version < answer.version:
            return
        if not self._advance(content, 'peer'):
            return
        if answer.age_s >= 0:
            self._confirm(answer.version, asked_at - answer.age_s)
            if now < self.permit_until():
                self.serving = True

    def _read_answer(
        self, answer: messages.ConfigReply
    ) -> patches.Content | None:
        """Return the content that an answer leads to, if it can be read."""
        if answer.sections is not None:
            return patches.Content(answer.version, answer.sections)
        content = self._content
        first = answer.version - len(answer.texts) + 1
        for number, text in enumerate(answer.texts, first):
            if number != content.version + 1:
                continue
            parsed = ini.parse(text, 'peer')
            if isinstance(parsed, result.Err):
                _log.error('patch of a peer not read', version=number)
                return None
            sections = configuration.merge(content.sections, parsed.ok_value)
            content = patches.Content(number, sections)
        return content

    def serve_unconfirmed(self) -> None:
        """Serve by what the peers held, since the platform is out."""
        if self.serving or not self._content.version:
            return
        self.serving = True
        _log.warning(
            "serving by the peers' configuration; no task starts",
            version=self._content.version,
        )

    def _advance(self, content: patches.Content, source: str) -> bool:
        """Move forward to ``content``; return whether it is valid."""
        if content.version <= self._content.version:
            return True
        read = configuration.read(content.sections, content.version, source)
        if isinstance(read, result.Err):
            lines = [str(problem) for problem in read.err_value]
            _log.error('configuration not valid', problems=lines)
            return False
        self._keep_texts(content)
        self._content = content
        self.current = read.ok_value
        self.source = source
        self.changed.set()
        _log.info(
            'configuration in force', version=content.version, source=source
        )
        return True

    def _keep_texts(self, content: patches.Content) -> None:
        """Keep what leads to ``content``, for peers that lack it."""
        if content.version != self._content.version + 1:
            self._texts_by_version.clear()
            return
        changes = configuration.difference(
            self._content.sections, content.sections
        )
        text = configuration.to_text(changes)
        self._texts_by_version[content.version] = text
        if len(self._texts_by_version) > _KEPT_TEXTS:
            self._texts_by_version.popitem(last=False)

    def _confirm(self, version: int, moment: float) -> None:
        """Count ``version`` as the newest as of ``moment``.

        An older version says nothing, since a newer one is known.
        """
        if version < self._content.version:
            return
        if self.confirmed_at is None or moment > self.confirmed_at:
            self.confirmed_at = moment
