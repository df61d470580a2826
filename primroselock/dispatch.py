"""Sends a request to an upstream, or reports that it did not run.

A request takes a free slot at once, or waits in its service's queue.  It is
rejected as not run when the queue is full, when its deadline is earlier than
the expected wait and a mean exchange would end, or when no slot is granted in
time.  The expected wait follows Little's law: the number of requests ahead,
divided by the rate at which this gateway's exchanges end.

Once the first byte was written, only an idempotent request is retried,
within a retry budget.  A request of which no byte was sent may go to
another upstream.
"""

import asyncio
from collections import abc
import dataclasses
import typing

import result

from primroselock import clock
from primroselock import configuration
from primroselock import daemon
from primroselock import ejection
from primroselock import fairqueue
from primroselock import httpclient
from primroselock import retrybudget
from primroselock import routing

NOT_STARTED_HEADER: typing.Final = 'upstream-not-started'
_UPSTREAM_SHUTTING_DOWN: typing.Final = 'leaving'
"""Value of the header when the upstream is shutting down."""

_TOO_LATE: typing.Final = 'too-late'
_MAX_ATTEMPTS: typing.Final = 3
_REFRESH_INTERVAL_S: typing.Final = 0.02
_RETRY_AFTER_S: typing.Final = 1.0
_SMOOTHING_FACTOR: typing.Final = 0.05
"""Weight of the newest duration in the mean duration of exchanges."""


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The upstream's complete response."""

    response: httpclient.Response
    is_replay: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run.

    ``status`` is the HTTP status of the response to the caller, and
    ``retry_after_s`` the value of its Retry-After header, if any.
    """

    code: str
    message: str
    retry_after_s: float | None = _RETRY_AFTER_S
    status: int = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run.

    ``timed_out`` is set when no response arrived by the deadline or, for
    an idempotency key that is in use, none is stored; the status is then
    504 instead of 502.
    """

    code: str
    message: str
    timed_out: bool = False
    retry_after_s: float | None = None


Outcome = Done | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request to send; ``deadline`` is on the monotonic clock."""

    service: configuration.Service
    account: configuration.Account
    request: httpclient.Request
    is_idempotent: bool
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Foreseen:
    """What would become of a request that is sent now.

    ``upstreams`` are those of its service, each with what excludes it.  It
    would wait for ``wait_s``, and the answer then takes ``mean_exchange_s``
    (0 if none was received yet), or be refused.
    """

    upstreams: list[tuple[routing.Upstream, routing.Exclusion | None]]
    wait_s: float
    mean_exchange_s: float
    refusal: NotRun | None


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """A queued request.

    ``excluded`` holds the VM ids of upstreams that were attempted before.
    ``granted`` resolves to the upstream whose slot is reserved, or to the
    reason why the request was not run.
    """

    pending: PendingRequest
    excluded: abc.Collection[str]
    granted: asyncio.Future[routing.Upstream | NotRun]


class _ServiceState:
    """The queue of a service and the mean duration of its exchanges.

    The mean is exponentially weighted.
    """

    def __init__(self) -> None:
        self.queue: fairqueue.FairQueue[_Waiter] = fairqueue.FairQueue()
        self.budget = retrybudget.RetryBudget()
        self.running = 0
        self.mean_exchange_s = 0.0

    def record_duration(self, duration_s: float) -> None:
        """Record the duration of a completed exchange."""
        if self.mean_exchange_s == 0.0:
            self.mean_exchange_s = duration_s
        self.mean_exchange_s += (
            duration_s - self.mean_exchange_s
        ) * _SMOOTHING_FACTOR

    def expected_wait_s(self, account: configuration.Account) -> float:
        """Return the expected wait of a new request of ``account``."""
        if self.running == 0:
            return 0.0
        ahead = self.queue.count_ahead(account.name, account.weight)
        return (ahead + 1) * self.mean_exchange_s / self.running


class Dispatcher:
    """Queues, sends and retries the requests of every service."""

    def __init__(self, shared: daemon.Daemon, router: routing.Router) -> None:
        self._shared = shared
        self._metrics = shared.metrics
        self._router = router
        self._states_by_service: dict[str, _ServiceState] = {}

    async def run(self) -> None:
        """Refresh slot shares and grant free slots until cancelled."""
        while True:
            now = clock.monotonic()
            self._router.refresh(
                self._shared.follower.current,
                self._shared.members.list_live(now),
                now,
            )
            for service, state in self._states_by_service.items():
                self._grant_slots(service, state)
            await asyncio.sleep(_REFRESH_INTERVAL_S)

    async def send(self, pending: PendingRequest) -> Outcome:
        """Send ``pending`` and return its outcome.

        An unknown outcome of one attempt is not replaced by a later
        attempt that did not run.
        """
        state = self._state(pending.service.name)
        state.budget.earn()
        excluded: set[str] = set()
        overall: Outcome | None = None
        for _ in range(_MAX_ATTEMPTS):
            granted = await self._acquire_slot(state, pending, excluded)
            if isinstance(granted, NotRun):
                return overall if isinstance(overall, Unknown) else granted
            outcome, may_retry = await self._exchange(state, granted, pending)
            if overall is None or not isinstance(outcome, NotRun):
                overall = outcome
            if not may_retry:
                return overall
            excluded.add(granted.vm.id)
        assert overall is not None
        return overall

    def _state(self, service: str) -> _ServiceState:
        state = self._states_by_service.get(service)
        if state is None:
            state = _ServiceState()
            self._states_by_service[service] = state
        return state

    async def _acquire_slot(
        self,
        state: _ServiceState,
        pending: PendingRequest,
        excluded: abc.Collection[str],
    ) -> routing.Upstream | NotRun:
        now = clock.monotonic()
        if now >= pending.deadline:
            return _expired()
        if not len(state.queue):
            upstream = self._router.choose(pending.service, now, excluded)
            if upstream is not None:
                self._reserve(state, upstream)
                return upstream
        wait_s = state.expected_wait_s(pending.account)
        refusal = self._find_refusal(
            state, pending.service, wait_s, pending.deadline, now
        )
        if refusal is not None:
            if refusal.code == _TOO_LATE:
                self._metrics.count('refused_deadline')
            return refusal
        return await self._wait_for_slot(state, pending, excluded, wait_s)

    def _find_refusal(
        self,
        state: _ServiceState,
        service: configuration.Service,
        wait_s: float,
        deadline: float,
        now: float,
    ) -> NotRun | None:
        """Return why a request without a free slot need not wait, or None."""
        if not self._router.has_available_upstream(service, now):
            return NotRun('no-upstream', 'no upstream of the service is live')
        if now + wait_s + state.mean_exchange_s > deadline:
            message = f'the expected wait is {wait_s:.3f} s'
            return NotRun(_TOO_LATE, message, wait_s)
        return None

    def foresee(
        self,
        service: configuration.Service,
        account: configuration.Account,
        timeout_s: float,
        now: float,
    ) -> Foreseen:
        """Return what would become of a request; change nothing."""
        state = self._states_by_service.get(service.name) or _ServiceState()
        verdicts = self._router.judge(service, now)
        mean_s = state.mean_exchange_s
        has_candidate = any(why is None for _, why in verdicts)
        if has_candidate and not len(state.queue):
            return Foreseen(verdicts, 0.0, mean_s, None)
        wait_s = state.expected_wait_s(account)
        refusal = self._find_refusal(
            state, service, wait_s, now + timeout_s, now
        )
        is_admitted = state.queue.admits(
            account.name, account.weight, service.queue
        )
        if refusal is None and not is_admitted:
            refusal = _queue_full(wait_s)
        return Foreseen(verdicts, wait_s, mean_s, refusal)

    async def _wait_for_slot(
        self,
        state: _ServiceState,
        pending: PendingRequest,
        excluded: abc.Collection[str],
        wait_s: float,
    ) -> routing.Upstream | NotRun:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(pending, excluded, loop.create_future())
        account = pending.account
        displaced = state.queue.push(
            account.name, account.weight, waiter, pending.service.queue
        )
        if displaced is not None:
            self._metrics.count('refused_queue_full')
            displaced.granted.set_result(_queue_full(wait_s))
        try:
            async with asyncio.timeout(pending.deadline - clock.monotonic()):
                return await asyncio.shield(waiter.granted)
        except TimeoutError:
            self._cancel_wait(state, waiter)
            return _expired()
        except asyncio.CancelledError:
            self._cancel_wait(state, waiter)
            raise

    def _cancel_wait(self, state: _ServiceState, waiter: _Waiter) -> None:
        """Leave the queue, or free the slot that was just granted."""
        state.queue.remove(waiter.pending.account.name, waiter)
        if not waiter.granted.done():
            waiter.granted.cancel()
        elif isinstance(waiter.granted.result(), routing.Upstream):
            self._release(
                state, waiter.pending.service.name, waiter.granted.result()
            )

    def _grant_slots(self, service: str, state: _ServiceState) -> None:
        now = clock.monotonic()
        while (waiter := state.queue.peek()) is not None:
            pending = waiter.pending
            # The limits of the latest configuration version apply.
            current = self._shared.follower.current.services_by_name
            limits = current.get(service, pending.service)
            upstream: routing.Upstream | None = None
            # A request too close to its deadline would occupy a slot and
            # end with an unknown outcome.
            if now + state.mean_exchange_s < pending.deadline:
                upstream = self._router.choose(limits, now, waiter.excluded)
                if upstream is None:
                    return
            state.queue.pop()
            if upstream is None:
                waiter.granted.set_result(_expired())
                continue
            self._reserve(state, upstream)
            waiter.granted.set_result(upstream)

    def _reserve(
        self, state: _ServiceState, upstream: routing.Upstream
    ) -> None:
        state.running += 1
        self._router.reserve(upstream)

    def _release(
        self, state: _ServiceState, service: str, upstream: typing.Any
    ) -> None:
        state.running -= 1
        self._router.release(upstream)
        self._grant_slots(service, state)

    async def _exchange(
        self,
        state: _ServiceState,
        upstream: routing.Upstream,
        pending: PendingRequest,
    ) -> tuple[Outcome, bool]:
        """Return the outcome of one attempt and whether to retry."""
        started = clock.monotonic()
        try:
            exchanged = await upstream.pool.exchange(
                pending.request, pending.deadline - started
            )
        finally:
            self._release(state, pending.service.name, upstream)
        now = clock.monotonic()
        self._metrics.record('upstream_exchange', now - started)
        if isinstance(exchanged, result.Err):
            return self._record_error(
                state, upstream, pending, exchanged.err_value, now
            )
        response = exchanged.ok_value
        refusal = response.headers_by_name.get(NOT_STARTED_HEADER)
        if refusal is not None:
            self._metrics.count('upstream_refused')
            is_shutting_down = refusal == _UPSTREAM_SHUTTING_DOWN
            self._router.record_refusal(upstream, is_shutting_down, now)
            outcome = NotRun(
                'upstream-refused', 'the upstream refused the request'
            )
            return outcome, self._spend_retry(state, pending, now)
        upstream.health = ejection.HEALTHY
        state.record_duration(now - started)
        return Done(response), False

    def _record_error(
        self,
        state: _ServiceState,
        upstream: routing.Upstream,
        pending: PendingRequest,
        error: httpclient.ExchangeError,
        now: float,
    ) -> tuple[Outcome, bool]:
        """Record a failed attempt; return its outcome and whether to retry."""
        if isinstance(error, httpclient.NotSent):
            self._metrics.count('upstream_unreachable')
            if not error.is_local:
                upstream.health = ejection.record_unreachable(
                    upstream.health, now
                )
            return NotRun('upstream-unreachable', error.detail), True
        self._metrics.count('upstream_broken')
        upstream.health = ejection.record_lost_response(upstream.health, now)
        outcome = Unknown('answer-lost', error.detail, error.timed_out)
        return outcome, self._spend_retry(state, pending, now)

    def _spend_retry(
        self, state: _ServiceState, pending: PendingRequest, now: float
    ) -> bool:
        """Spend a retry of the budget; return False if none is allowed."""
        if not pending.is_idempotent or now >= pending.deadline:
            return False
        if not state.budget.spend():
            return False
        self._metrics.count('retries')
        return True


def _queue_full(wait_s: float) -> NotRun:
    return NotRun('queue-full', 'the queue is full', wait_s, 429)


def _expired() -> NotRun:
    return NotRun(_TOO_LATE, 'the deadline passed before a slot was free')
