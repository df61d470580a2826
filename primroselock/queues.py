"""The operators' configuration of queues, services, accounts and zones.

A :class:`QueueConfiguration` is one stored version of it.  The queue of a call
is found by the host and the longest matching prefix of the path, the caller's
account by the API key of the call.
"""

from collections import abc
import dataclasses
import typing

from primroselock import decoding


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceLatency:
    """How long the advice service takes to answer a request.

    It takes ``base_s``, and ``per_worker_s`` more for each worker in the
    request.
    """

    base_s: decoding.Number
    per_worker_s: decoding.Number


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs; the workers of its service run the tasks.

    ``priority`` 0 is the most urgent.  A job is on time if it ends within
    ``stretch`` times its shortest run time plus ``latency_target_s``.
    ``advice`` is set if the advice service decides which workers may run
    a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: decoding.Integer = 0
    max_attempts: decoding.Integer = 1
    stretch: decoding.Number = 1.0
    latency_target_s: decoding.Number = 1.0
    is_public: bool = False
    advice: AdviceLatency | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What an account may have running at a time, on all workers together.

    An amount of 0 is no limit.  ``cpu_millis`` is in thousandths of a core,
    ``memory_mb`` in megabytes.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def is_unlimited(self) -> bool:
        """Whether no resource is limited."""
        return not (self.cpu_millis or self.memory_mb or self.accelerators)


UNLIMITED: typing.Final = Quota()


@dataclasses.dataclass(frozen=True, slots=True)
class QueueAccount:
    """A client account, its API keys, its guarantee and its limits.

    Guaranteed accelerators that other accounts use are reclaimed on demand.
    ``weight`` is the account's share, relative to the weights of the others,
    when work waits for capacity.  None: the configuration gives none.
    """

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0
    quota: Quota = UNLIMITED
    weight: float | None = None


class _Index:
    """Queues and accounts by what calls name; the first of equals counts."""

    def __init__(
        self, queues: abc.Iterable[Queue], accounts: abc.Iterable[QueueAccount]
    ) -> None:
        self.by_name: dict[str, Queue] = {}
        self.by_prefix_by_host: dict[str, dict[str, Queue]] = {}
        for queue in queues:
            self.by_name.setdefault(queue.name, queue)
            by_prefix = self.by_prefix_by_host.setdefault(queue.host, {})
            by_prefix.setdefault(queue.prefix, queue)
        self.prefix_lengths_by_host = {
            host: sorted({len(prefix) for prefix in by_prefix}, reverse=True)
            for host, by_prefix in self.by_prefix_by_host.items()
        }
        self.accounts_by_key: dict[str, QueueAccount] = {}
        for account in accounts:
            for key in account.keys:
                self.accounts_by_key.setdefault(key, account)


@dataclasses.dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """One version of the queues.

    ``version`` is 0 until a version has been read.  No task starts in
    ``zones_out_of_service``.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    accounts_by_name: abc.Mapping[str, QueueAccount] = dataclasses.field(
        default_factory=dict
    )
    zones_out_of_service: frozenset[str] = frozenset()
    max_body_bytes: int = 262144
    _index: _Index = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the queues: each call and each round looks them up."""
        index = _Index(self.queues, self.accounts_by_name.values())
        object.__setattr__(self, '_index', index)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``."""
        name = host.partition(':')[0].lower()
        by_prefix = self._index.by_prefix_by_host.get(name, {})
        for length in self._index.prefix_lengths_by_host.get(name, ()):
            queue = by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None

    def find_account(self, key: str) -> QueueAccount | None:
        """Return the account that has the API key ``key``."""
        return self._index.accounts_by_key.get(key)

    def find_by_name(self, name: str) -> Queue | None:
        """Return the queue with this name."""
        return self._index.by_name.get(name)


EMPTY: typing.Final = QueueConfiguration()
