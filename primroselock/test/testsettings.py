"""Checks of settings and configuration, with cases from data files."""

import pathlib
import tempfile
import unittest

import result

from primroselock import configuration
from primroselock import errors
from primroselock import ini
from primroselock import main
from primroselock import options
from primroselock import sockets
from primroselock.test import datacases


def check_settings(text: str) -> str:
    """Return ``valid`` or the problems of a settings text, by line."""
    parsed = options.parse(text, 'file')
    if isinstance(parsed, result.Err):
        return '\n'.join(str(problem) for problem in parsed.err_value)
    return 'valid'


def check_configuration(text: str) -> str:
    """Return ``valid`` or the problems of a configuration, by line."""
    parsed = ini.parse(text, 'patch')
    if isinstance(parsed, result.Err):
        return '\n'.join(str(problem) for problem in parsed.err_value)
    read = configuration.read(parsed.ok_value, 1, 'patch')
    if isinstance(read, result.Err):
        return '\n'.join(str(problem) for problem in read.err_value)
    return 'valid'


class SettingsTest(unittest.TestCase):
    """Each problem is one line with place, value and expectation."""

    def test_settings_cases(self) -> None:
        for case in datacases.load('settings.test'):
            with self.subTest(case.name):
                self.assertEqual(case.expected, check_settings(case.given))

    def test_configuration_cases(self) -> None:
        for case in datacases.load('configuration.test'):
            with self.subTest(case.name):
                found = check_configuration(case.given)
                self.assertEqual(case.expected, found)

    def test_invalid_file_exits_with_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.ini'
            path.write_text('[process]\n', encoding='utf-8')
            code = main.main(['settings', 'check', str(path)])
        self.assertEqual(errors.ExitCode.USAGE, code)

    def test_port_in_use_exits_as_unreachable(self) -> None:
        """A daemon whose address is in use ends instead of waiting for it."""
        text = '[process]\nvm_id = v\nzone = a\n'
        text += '[platform]\naddress = 127.0.0.1:9\n'
        listener = sockets.open_listener('127.0.0.1:0')
        listener.listen()
        text += f'[gateway]\nbind = {sockets.bound_address(listener)}\n'
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.ini'
            path.write_text(text, encoding='utf-8')
            code = main.main(['gateway', '--settings', str(path)])
        listener.close()
        self.assertEqual(errors.ExitCode.UNREACHABLE, code)


if __name__ == '__main__':
    unittest.main()
