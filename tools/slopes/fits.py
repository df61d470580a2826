"""Straight lines through measured points, by least squares."""

from collections import abc
import dataclasses
import math
import typing

MIN_SIZES: typing.Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """``y = intercept + slope * x``; ``residual`` is its RMS error.

    ``name`` is unique among all fits.  ``y_unit`` is the unit of the
    intercept and the residual, ``x_name`` what the slope is per.
    """

    name: str
    x_name: str
    y_unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float


def fit(
    name: str,
    x_name: str,
    y_unit: str,
    points: abc.Iterable[tuple[float, float]],
) -> Fit:
    """Return the least-squares line through ``points``.

    Raises :class:`ValueError` for fewer than four different sizes.
    """
    taken = tuple((float(x), float(y)) for x, y in points)
    if len({x for x, _ in taken}) < MIN_SIZES:
        raise ValueError(f'{name}: expected {MIN_SIZES} sizes or more')
    mean_x = math.fsum(x for x, _ in taken) / len(taken)
    mean_y = math.fsum(y for _, y in taken) / len(taken)
    spread = math.fsum((x - mean_x) ** 2 for x, _ in taken)
    shared = math.fsum((x - mean_x) * (y - mean_y) for x, y in taken)
    slope = shared / spread
    intercept = mean_y - slope * mean_x
    squares = math.fsum((y - intercept - slope * x) ** 2 for x, y in taken)
    return Fit(
        name,
        x_name,
        y_unit,
        taken,
        slope,
        intercept,
        math.sqrt(squares / len(taken)),
    )
