"""Tests of the measuring tools: fits, relays, usage and limits."""

import socket
import threading
import unittest

import hypothesis
from hypothesis import strategies

from tools.capacity import __main__ as capacity
from tools.slopes import fits
from tools.slopes import processes
from tools.slopes import relay

_NUMBERS = strategies.floats(-1e3, 1e3)
_SIZES = strategies.sets(
    strategies.integers(0, 1000), min_size=fits.MIN_SIZES, max_size=8
)


class FitTest(unittest.TestCase):
    """Least-squares lines."""

    @hypothesis.given(_SIZES, _NUMBERS, _NUMBERS)
    def test_fit_recovers_a_line(
        self, sizes: set[int], slope: float, intercept: float
    ) -> None:
        points = [(x, intercept + slope * x) for x in sizes]
        found = fits.fit('f', 'x', 'y', points)
        self.assertAlmostEqual(slope, found.slope, delta=1e-4)
        self.assertAlmostEqual(intercept, found.intercept, delta=1e-2)
        self.assertLess(found.residual, 1e-2)

    def test_residual_of_points_beside_the_line(self) -> None:
        points = [(0, 1.0), (1, -1.0), (2, -1.0), (3, 1.0)]
        found = fits.fit('f', 'x', 'y', points)
        self.assertAlmostEqual(0.0, found.slope)
        self.assertAlmostEqual(1.0, found.residual)

    def test_three_sizes_are_too_few(self) -> None:
        with self.assertRaises(ValueError):
            fits.fit('f', 'x', 'y', [(1, 1.0), (2, 2.0), (3, 3.0), (3, 3.1)])


class RelayTest(unittest.TestCase):
    """A relay forwards all bytes and counts them."""

    def test_bytes_and_calls_are_counted(self) -> None:
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        thread = threading.Thread(target=self.echo, args=(listener,))
        thread.start()
        relay_host = relay.RelayHost()
        opened = relay_host.open(f'{host}:{port}')
        sent = b'POST /v1/table/read HTTP/1.1\r\n' + bytes(100_000)
        address = opened.address.rpartition(':')
        received = b''
        with socket.create_connection((address[0], int(address[2]))) as client:
            client.sendall(sent)
            client.shutdown(socket.SHUT_WR)
            while chunk := client.recv(65536):
                received += chunk
        thread.join()
        relay_host.close()
        self.assertEqual(sent, received)
        self.assertEqual(len(sent), opened.bytes_sent)
        self.assertEqual(len(sent), opened.bytes_received)
        self.assertEqual(1, opened.count_calls('read', 'scan'))

    def echo(self, listener: socket.socket) -> None:
        """Send back the bytes of one connection."""
        connection, _ = listener.accept()
        with connection:
            while chunk := connection.recv(65536):
                connection.sendall(chunk)


class UsageTest(unittest.TestCase):
    """Processor time of all threads of a process, and its memory."""

    def test_processor_time_is_counted(self) -> None:
        pid = threading.get_native_id()
        before = processes.read_usage(pid)
        total = sum(range(2_000_000))
        after = processes.read_usage(pid)
        self.assertGreater(total, 0)
        self.assertGreater(after.cpu_s, before.cpu_s)
        self.assertGreater(after.rss_bytes, 0)


class LimitFormatTest(unittest.TestCase):
    """Values above their limit are marked."""

    def test_values_above_a_limit_are_marked(self) -> None:
        self.assertEqual('4', capacity.format_with_limit(4.0, 4.0))
        self.assertEqual('**8** (2 x)', capacity.format_with_limit(8.0, 4.0))
        self.assertEqual('12,300', capacity.format_number(12345.0))


if __name__ == '__main__':
    unittest.main()
