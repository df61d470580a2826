"""Operators' call that explains where a short request would go now.

This gateway answers for itself: each gateway chooses upstreams by what it
knows.  Nothing is sent, no slot is taken and nothing is drawn or counted.
"""

import dataclasses
import typing

from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import clock
from primroselock import configuration
from primroselock import daemon
from primroselock.decisions.explaining import records
from primroselock import dispatch
from primroselock import operatorcalls
from primroselock import routing

_MAX_UPSTREAMS: typing.Final = 200

_RULES: typing.Final = {
    routing.Exclusion.LEAVING: 'leaving',
    routing.Exclusion.PAUSED: 'paused',
    routing.Exclusion.EJECTED: 'ejected',
    routing.Exclusion.PROBED: 'probation',
    routing.Exclusion.FULL: 'full',
    routing.Exclusion.OTHER_ZONE: 'zone',
}


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamVerdict:
    """An upstream, and the rule by which it falls out; empty for a candidate.

    ``running`` are requests of this gateway, of at most ``slots`` that it may
    run there; ``used_by_others`` are slots in use by other gateways.
    """

    upstream: str
    zone: str
    rule: str
    why: str
    running: int
    slots: int
    used_by_others: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestExplanation:
    """What would become of a request.

    ``outcome`` is ``sent``, ``waits`` or ``refused``.  It would start in
    ``start_in_s`` and end in ``end_in_s``, None where that is not known.
    ``upstreams`` has the candidates first.
    """

    service: str
    account: str
    outcome: str
    why: str
    start_in_s: float | None
    end_in_s: float | None
    upstreams: list[UpstreamVerdict]
    upstreams_omitted: int
    knowledge: records.Knowledge


class RequestExplanations:
    """Answers ``GET /v1/operators/explain/requests?service=S&account=A``."""

    def __init__(
        self,
        shared: daemon.Daemon,
        router: routing.Router,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._shared = shared
        self._router = router
        self._dispatcher = dispatcher

    async def explain(self, request: requests.Request) -> responses.Response:
        """Explain a request with the default time limit."""
        current = self._shared.follower.current
        wanted = request.query_params.get('service', '')
        service = current.services_by_name.get(wanted)
        if service is None:
            raise operatorcalls.BadRequest(f'service: unknown {wanted!r}')
        wanted = request.query_params.get('account', '')
        account = current.accounts_by_name.get(wanted)
        if account is None:
            raise operatorcalls.BadRequest(f'account: unknown {wanted!r}')
        now = clock.monotonic()
        foreseen = self._dispatcher.foresee(
            service,
            account,
            self._shared.settings.gateway.default_timeout_s,
            now,
        )
        return answers.json_response(
            self._describe(service, account, foreseen, now)
        )

    def _describe(
        self,
        service: configuration.Service,
        account: configuration.Account,
        foreseen: dispatch.Foreseen,
        now: float,
    ) -> RequestExplanation:
        verdicts = [
            UpstreamVerdict(
                upstream.vm.id,
                upstream.vm.zone,
                '' if why is None else _RULES[why],
                '' if why is None else why.value,
                upstream.running,
                max(0, self._router.slot_limit(upstream, service)),
                upstream.used_by_others,
            )
            for upstream, why in foreseen.upstreams
        ]
        verdicts.sort(key=lambda each: (each.rule != '', each.upstream))
        candidates = sum(not each.rule for each in verdicts)
        outcome, reason = self._describe_outcome(foreseen, candidates)
        start_s = None if foreseen.refusal else round(foreseen.wait_s, 3)
        end_s = None
        if start_s is not None and foreseen.mean_exchange_s:
            end_s = round(start_s + foreseen.mean_exchange_s, 3)
        return RequestExplanation(
            service.name,
            account.name,
            outcome,
            reason,
            start_s,
            end_s,
            verdicts[:_MAX_UPSTREAMS],
            max(0, len(verdicts) - _MAX_UPSTREAMS),
            self._describe_knowledge(now),
        )

    def _describe_outcome(
        self, foreseen: dispatch.Foreseen, candidates: int
    ) -> tuple[str, str]:
        refusal = foreseen.refusal
        if refusal is not None:
            return 'refused', f'{refusal.code}: {refusal.message}'
        if foreseen.wait_s or not candidates:
            return 'waits', 'in the queue of the service'
        if candidates == 1:
            return 'sent', 'the only upstream that can take it'
        policy = self._shared.settings.gateway.upstream_choice
        return 'sent', f'{policy} among {candidates} upstreams'

    def _describe_knowledge(self, now: float) -> records.Knowledge:
        shared = self._shared
        ages_s = {'configuration': round(shared.follower.age_s(now), 3)}
        if shared.vms_read_at is not None:
            ages_s['upstreams'] = round(now - shared.vms_read_at, 3)
        heard_at = [
            peer.received_at
            for peer in shared.members.list_live(now)
            if peer.beacon.role == 'gateway'
        ]
        if heard_at:
            ages_s['other gateways'] = round(now - min(heard_at), 3)
        return records.Knowledge(
            shared.settings.process.vm_id,
            None,
            shared.follower.current.version,
            ages_s,
        )
