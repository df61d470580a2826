"""Imports every controller, so that each registers itself."""

from primroselock.decisions import draining
from primroselock.decisions import gangs
from primroselock.decisions import placing
from primroselock.decisions import policies
from primroselock.decisions import runtimes

__all__ = ['draining', 'gangs', 'placing', 'policies', 'runtimes']
