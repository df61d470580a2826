"""How much work of different kinds weighs against each other."""

from primroselock.decisions import livejobs
from primroselock import jobgraph


def cores(need: jobgraph.Resources) -> float:
    """Return resources in cores; an accelerator counts as eight."""
    return need.cpu_millis / 1000 + need.accelerators * 8


def weight(group: livejobs.Group) -> float:
    """Return the cores that a group takes while it runs."""
    return group.size * cores(group.step.need)
