"""Least-squares fits of straight lines to measured points."""

from collections import abc
import dataclasses
import math
import typing

MIN_SIZES: typing.Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """The line ``y = intercept + slope * x``; ``residual`` is its RMS error.

    ``name`` is unique among all fits.  ``y_unit`` is the unit of the
    intercept and of the residual; the slope is in ``y_unit`` per ``x_name``.
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
    data = tuple((float(x), float(y)) for x, y in points)
    if len({x for x, _ in data}) < MIN_SIZES:
        raise ValueError(
            f'{name}: expected at least {MIN_SIZES} different sizes'
        )
    mean_x = math.fsum(x for x, _ in data) / len(data)
    mean_y = math.fsum(y for _, y in data) / len(data)
    variance_sum = math.fsum((x - mean_x) ** 2 for x, _ in data)
    covariance_sum = math.fsum((x - mean_x) * (y - mean_y) for x, y in data)
    slope = covariance_sum / variance_sum
    intercept = mean_y - slope * mean_x
    squares = math.fsum((y - intercept - slope * x) ** 2 for x, y in data)
    return Fit(
        name,
        x_name,
        y_unit,
        data,
        slope,
        intercept,
        math.sqrt(squares / len(data)),
    )
