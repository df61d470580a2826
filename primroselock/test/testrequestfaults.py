"""Outcomes that callers receive while processes and the platform fail.

Guards against requests that run twice and a reported outcome that
contradicts the upstreams' records, while gateways and upstreams are killed
or cut off and the platform fails.
"""

from concurrent import futures
import http.client
import signal
import typing
import unittest

from primroselock.test import requestbuilders
from standins import launch

_UPSTREAMS: typing.Final = requestbuilders.UPSTREAMS


class RequestFaultsTest(requestbuilders.RequestsCase):
    """Gateways and upstreams are killed, the platform fails."""

    def test_gateway_killed_while_claiming(self) -> None:
        """Guards against a second run after a kill during the claim's write.

        The outcome of that write is unknown, so the key may be claimed or not.
        """
        gateway = self.start_gateway('claiming')
        self.wait_ready('claiming')
        self.cluster.set_fault('a', 'slow', delay_s=1.0)
        body = self.new_body()
        sent = self.pool.submit(
            self.send, 'claiming', body, Idempotency_Key='claiming'
        )
        with self.assertRaises(futures.TimeoutError):
            sent.result(0.3)
        gateway.kill()
        self.cluster.set_fault('a', 'none')
        with self.assertRaises((http.client.HTTPException, OSError)):
            sent.result()
        for _ in range(2):
            answer = self.send('first', body, Idempotency_Key='claiming')
            self.check_outcome(answer, body)

    def test_gateway_killed_while_sending(self) -> None:
        """Guards against a second run of a key that was sent to an upstream.

        Its claim is stored without an answer, so the outcome is unknown.
        """
        gateway = self.start_gateway('sending')
        self.wait_ready('sending')
        body = self.new_body()
        sent = self.begin('sending', body, 1.0, Idempotency_Key='sending')
        gateway.kill()
        with self.assertRaises((http.client.HTTPException, OSError)):
            sent.result()
        answer = self.send('first', body, 1.0, Idempotency_Key='sending')
        self.assertEqual('unknown', self.check_outcome(answer, body))

    def test_gateway_killed_after_answering(self) -> None:
        """The stored answer of a key is repeated by another gateway.

        Another body under the same key is refused.
        """
        gateway = self.start_gateway('answering')
        self.wait_ready('answering')
        body = self.new_body()
        sent = self.send('answering', body, Idempotency_Key='answering')
        self.assertEqual('done', self.check_outcome(sent, body))
        gateway.kill()
        answer = self.send('first', body, Idempotency_Key='answering')
        self.assertEqual('done', self.check_outcome(answer, body))
        self.assertEqual('true', answer.headers['primroselock-replayed'])
        other = self.send('first', b'other', Idempotency_Key='answering')
        self.assertEqual(422, other.status)
        self.assertEqual('not-run', self.check_outcome(other, b'other'))

    def test_platform_down(self) -> None:
        """Without the platform, only requests with a key are refused.

        A refused key was not claimed and can be sent again.
        """
        self.cluster.set_fault('a', 'down')
        body = self.new_body()
        self.assertEqual(
            'done', self.check_outcome(self.send('first', body), body)
        )
        keyed = self.new_body()
        answer = self.send('first', keyed, Idempotency_Key='down')
        self.assertEqual('not-run', self.check_outcome(answer, keyed))
        self.assertIn('retry-after', answer.headers)
        self.cluster.set_fault('a', 'none')
        answer = self.send('first', keyed, Idempotency_Key='down')
        self.assertEqual('done', self.check_outcome(answer, keyed))

    def test_platform_loses_replies(self) -> None:
        """Guards against a claim that blocks its own request.

        The table applies the claim, but its reply is lost.
        """
        self.cluster.set_fault('a', 'lose_reply', count=1)
        body = self.new_body()
        for _ in range(2):
            answer = self.send('first', body, Idempotency_Key='lost')
            self.assertEqual('done', self.check_outcome(answer, body))

    def test_platform_slow_past_the_deadline(self) -> None:
        """A claim that is not confirmed by the deadline prevents the run."""
        self.cluster.set_fault('a', 'slow', delay_s=1.0)
        body = self.new_body()
        answer = self.send(
            'first', body, Idempotency_Key='slow', Primroselock_Timeout='0.3'
        )
        self.assertEqual('not-run', self.check_outcome(answer, body))

    def test_upstream_paused_and_killed_while_it_runs(self) -> None:
        """A request that an upstream received has an unknown outcome.

        Guards against a retry on another upstream.
        """
        for number in (signal.SIGSTOP, signal.SIGKILL):
            body = self.new_body()
            sent = self.begin('first', body, 1.0, Primroselock_Timeout='1.5')
            name = self.find_upstream(body)
            process = self.cluster.processes_by_name[name]
            process.send_signal(number)
            answer = sent.result()
            self.assertEqual(
                'unknown', answer.headers['primroselock-outcome'], number
            )
            if number == signal.SIGSTOP:
                process.send_signal(signal.SIGCONT)
                self.assertEqual(1, self.count_runs(body))
        # Its address is still listed; other upstreams serve the requests.
        zone = name.split('-')[1][0]
        for _ in range(20):
            answer = self.send('first', b'after')
            self.assertEqual('done', answer.headers['primroselock-outcome'])
        self.cluster.start_upstream(name, zone, 'quote-desk')

    def test_truncated_answers_are_unknown_and_retried_only_when_idempotent(
        self,
    ) -> None:
        """Retries of idempotent requests stay within the retry budget."""
        self.set_upstream_faults(cut=True)
        for body in [self.new_body() for _ in range(20)]:
            answer = self.send('first', body)
            self.assertEqual('unknown', self.check_outcome(answer, body))
        idempotent = [self.new_body() for _ in range(100)]
        for body in idempotent:
            self.send('first', body, Primroselock_Idempotent='true')
        runs = sum(self.count_runs(body) for body in idempotent)
        self.set_upstream_faults()
        # The budget bounds the added load to a tenth; one retry may have
        # been saved before.
        self.assertGreater(runs, 100)
        self.assertLessEqual(runs, 110 + 1)

    def set_upstream_faults(self, **faults: bool) -> None:
        """Set the injected faults of every upstream."""
        for name in _UPSTREAMS:
            address = self.cluster.addresses_by_name[name]
            launch.call(address, 'POST', '/admin/faults', faults)

    def test_partitioned_zone_is_served_by_the_others(self) -> None:
        """A gateway uses upstreams of other zones if none in its own answers.

        Its zone has also lost the platform.
        """
        self.start_gateway('in-b', 'b')
        self.wait_ready('in-b')
        self.addCleanup(self.cluster.processes_by_name['in-b'].kill)
        body = self.new_body()
        self.send('in-b', body)
        self.assertEqual('up-b', self.find_upstream(body))
        self.cluster.set_fault('b', 'down')
        self.cluster.processes_by_name['up-b'].kill()
        for _ in range(10):
            answer = self.send('in-b', b'cut')
            self.assertEqual('done', answer.headers['primroselock-outcome'])
        self.cluster.start_upstream('up-b', 'b', 'quote-desk')


if __name__ == '__main__':
    unittest.main()
