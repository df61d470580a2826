"""Where jobs come in and for whom: queues, services, accounts, zones.

A record of this kind is one version of what the operators ask for, as the
store keeps it.  A queue is found by the host and the longest prefix of
the path, its caller's account by the key that the call bears.
"""

from collections import abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceLatency:
    """How long another service takes to say which workers may run a step."""

    base_s: float
    per_worker_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs; its service's workers run the tasks.

    ``priority`` 0 is the most urgent.  A job is on time while it ends
    within ``stretch`` times its shortest run time and ``latency_target_s``.
    ``advice`` is set where another service decides which workers may run
    a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_s: float = 1.0
    is_public: bool = False
    advice: AdviceLatency | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class QueueAccount:
    """A client account, its keys and what it can always have back."""

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """One version of the queues; ``zones_out_of_service`` get no starts."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    accounts_by_name: abc.Mapping[str, QueueAccount] = dataclasses.field(
        default_factory=dict
    )
    zones_out_of_service: frozenset[str] = frozenset()
    max_body_bytes: int = 262144

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a call: its host, the longest prefix."""
        name = host.partition(':')[0].lower()
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != name or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def find_account(self, key: str) -> QueueAccount | None:
        """Return the account that holds ``key``."""
        for account in self.accounts_by_name.values():
            if key in account.keys:
                return account
        return None

    def find_by_name(self, name: str) -> Queue | None:
        """Return the queue with this name."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None


EMPTY: typing.Final = QueueConfiguration()
