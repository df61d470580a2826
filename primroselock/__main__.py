"""Runs the program as ``python -m primroselock``."""

from primroselock import main

main.console_main()
