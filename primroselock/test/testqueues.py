"""Queues and accounts are found by what a call names."""

import typing
import unittest

import hypothesis
from hypothesis import strategies as st

from primroselock import queues

_HOSTS: typing.Final = ('one', 'two')
_TEXT: typing.Final = st.text('/ab', max_size=4)


class FindTest(unittest.TestCase):
    """The index finds what a search through all finds."""

    @hypothesis.given(
        st.lists(
            st.tuples(st.sampled_from(('q', 'r', 's')), _TEXT, _TEXT),
            max_size=8,
        ),
        _TEXT,
        st.sampled_from((*_HOSTS, 'three')),
    )
    def test_the_longest_prefix_of_the_host(
        self, named: list[tuple[str, str, str]], path: str, host: str
    ) -> None:
        listed = tuple(
            queues.Queue(name, _HOSTS[len(other) % 2], prefix, 'svc', number)
            for number, (name, prefix, other) in enumerate(named)
        )
        current = queues.QueueConfiguration(1, listed)
        expected: queues.Queue | None = None
        for queue in listed:
            if queue.host == host and path.startswith(queue.prefix):
                if not expected or len(queue.prefix) > len(expected.prefix):
                    expected = queue
        self.assertEqual(expected, current.find(f'{host.upper()}:80', path))
        for name in ('q', 'r', 's'):
            first = next((q for q in listed if q.name == name), None)
            self.assertEqual(first, current.find_by_name(name))

    def test_the_account_of_a_key(self) -> None:
        accounts = [
            queues.QueueAccount('one', frozenset({'k1', 'k2'})),
            queues.QueueAccount('two', frozenset({'k2', 'k3'})),
        ]
        by_name = {account.name: account for account in accounts}
        current = queues.QueueConfiguration(1, (), by_name)
        for key, name in (('k1', 'one'), ('k2', 'one'), ('k3', 'two')):
            account = current.find_account(key)
            assert account is not None
            self.assertEqual(name, account.name)
        self.assertIsNone(current.find_account('k4'))


if __name__ == '__main__':
    unittest.main()
