"""Registry of the parts of the measurement."""

from collections import abc
import dataclasses

from tools.slopes import bench
from tools.slopes import fits

Measure = abc.Callable[[float], list[fits.Fit]]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part; ``measure`` receives the window in seconds.

    Parts that run within this process do not use the window.  A part
    without ``by_default`` runs only if it is named.
    """

    name: str
    measure: Measure
    by_default: bool


parts_by_name: dict[str, Part] = {}


def part(
    name: str, by_default: bool = True
) -> abc.Callable[[Measure], Measure]:
    """Return a decorator that registers a function as a part."""

    def register(measure: Measure) -> Measure:
        parts_by_name[name] = Part(name, measure, by_default)
        return measure

    return register


_UNITS_BY_RATE = {
    'cpu': 'core-s/s',
    'rss_mb': 'MB',
    'table_bytes': 'B/s',
    'table_reads': 'reads/s',
    'table_writes': 'writes/s',
    'vm_list_reads': 'reads/s',
    'link_bytes': 'B/s',
    'link_chunks': 'segments/s',
}


def fit_rates(
    prefix: str,
    x_name: str,
    points: list[tuple[float, bench.Rates]],
    names: tuple[str, ...],
) -> list[fits.Fit]:
    """Return one fit for each of the rates in ``names``."""
    return [
        fits.fit(
            f'{prefix}.{name}',
            x_name,
            _UNITS_BY_RATE[name],
            [(x, getattr(rates, name)) for x, rates in points],
        )
        for name in names
    ]
