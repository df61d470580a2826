"""Imports every controller, so that each registers itself."""

from primroselock.decisions import cancellation
from primroselock.decisions import feasibility
from primroselock.decisions import gangs
from primroselock.decisions import placing
from primroselock.decisions import policies
from primroselock.decisions import reasons
from primroselock.decisions import recovery
from primroselock.decisions import usage
from primroselock.decisions import workerhealth

__all__ = [
    'cancellation',
    'feasibility',
    'gangs',
    'placing',
    'policies',
    'reasons',
    'recovery',
    'usage',
    'workerhealth',
]
