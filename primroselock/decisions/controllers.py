"""Imports every controller, so that each registers itself."""

from primroselock.decisions import gangs
from primroselock.decisions import placing
from primroselock.decisions import policies

__all__ = ['gangs', 'placing', 'policies']
