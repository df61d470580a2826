"""Command line: ``python -m tools.slopes [PART ...] --output json``."""

import argparse
import platform
import signal
import sys
import time
import typing

import msgspec

from tools.slopes import clients
from tools.slopes import codecs
from tools.slopes import decisions
from tools.slopes import fits
from tools.slopes import gateways
from tools.slopes import meshes
from tools.slopes import records
from tools.slopes import registry
from tools.slopes import schedulers

_PARTS: typing.Final = (
    clients,
    codecs,
    decisions,
    gateways,
    schedulers,
    meshes,
    records,
)
_DEFAULT_WINDOW_S: typing.Final = 3.0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m tools.slopes',
        description=sys.modules[__name__].__doc__,
    )
    parser.add_argument(
        'parts',
        nargs='*',
        metavar='PART',
        help='parts to measure (the usual ones): '
        + ', '.join(registry.parts_by_name),
    )
    parser.add_argument('--output', choices=('table', 'json'), default='table')
    parser.add_argument('--window-s', type=float, default=_DEFAULT_WINDOW_S)
    return parser


def format_line(fit: fits.Fit) -> str:
    """Return one line of the table."""
    return (
        f'{fit.name:40} {fit.intercept:12.5g} + {fit.slope:10.5g} '
        f'per {fit.x_name:14} {fit.y_unit:10} residual {fit.residual:9.3g}'
    )


def main() -> int:
    """Measure the chosen parts; return the exit code."""
    parser = build_parser()
    parsed = parser.parse_args()
    chosen = parsed.parts or [
        name
        for name, part in registry.parts_by_name.items()
        if part.by_default
    ]
    unknown = sorted(set(chosen) - registry.parts_by_name.keys())
    if unknown:
        parser.error(f'unknown parts: {", ".join(unknown)}')
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    began = time.monotonic()
    found: list[fits.Fit] = []
    failures_by_part: dict[str, str] = {}
    for name in chosen:
        print(f'measuring {name}', file=sys.stderr, flush=True)
        try:
            found += registry.parts_by_name[name].measure(parsed.window_s)
        except Exception as error:
            # A part that fails must not lose what the others measured.
            failures_by_part[name] = f'{type(error).__name__}: {error}'
    if parsed.output == 'json':
        document = {
            'python': platform.python_version(),
            'window_s': parsed.window_s,
            'taken_s': round(time.monotonic() - began, 1),
            'failures_by_part': failures_by_part,
            'fits': found,
        }
        text = msgspec.json.format(msgspec.json.encode(document), indent=1)
        print(text.decode())
    else:
        for fit in found:
            print(format_line(fit))
    for name, failure in failures_by_part.items():
        print(f'part {name} failed: {failure}', file=sys.stderr)
    return 1 if failures_by_part else 0


if __name__ == '__main__':
    sys.exit(main())
