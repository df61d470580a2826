"""Tools for developers: demo, test runner, replay, slopes."""
