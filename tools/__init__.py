"""Tools for developers: demo, test runner, replay, measurements."""
