"""Imports every controller module, so that each registers itself."""

from primroselock.decisions import cancellation
from primroselock.decisions import draining
from primroselock.decisions import feasibility
from primroselock.decisions import gangs
from primroselock.decisions import placing
from primroselock.decisions import policies
from primroselock.decisions import reasonwriter
from primroselock.decisions import recovery
from primroselock.decisions import runtimeestimates
from primroselock.decisions import usage
from primroselock.decisions import workerhealth

__all__ = [
    'cancellation',
    'draining',
    'feasibility',
    'gangs',
    'placing',
    'policies',
    'reasonwriter',
    'recovery',
    'runtimeestimates',
    'usage',
    'workerhealth',
]
