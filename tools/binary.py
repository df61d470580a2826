"""Builds a single executable: a zipapp of primroselock and its libraries.

The libraries are copied from the environment that runs this tool, so that
nothing is downloaded.  The file needs only Python and the C library;
:mod:`tools.zipmain` is its entry point.
"""

import argparse
import compileall
import hashlib
from importlib import metadata
import pathlib
import py_compile
import shutil
import sys
import tempfile
import tomllib
import typing
import zipapp

from packaging import requirements

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_ENTRY_SCRIPT: typing.Final = _ROOT / 'tools' / 'zipmain.py'
_INTERPRETER: typing.Final = '/usr/bin/env python3.11'


def read_dependencies() -> list[str]:
    """Return the runtime dependencies that pyproject.toml declares."""
    text = (_ROOT / 'pyproject.toml').read_text(encoding='utf-8')
    dependencies: list[str] = tomllib.loads(text)['project']['dependencies']
    return dependencies


def find_distributions(wanted: list[str]) -> dict[str, metadata.Distribution]:
    """Return the installed distributions of ``wanted`` by name.

    ``wanted`` are requirement strings; transitive dependencies are included.
    Raises :class:`metadata.PackageNotFoundError` if one is not installed.
    """
    found: dict[str, metadata.Distribution] = {}
    pending = list(wanted)
    while pending:
        requirement = requirements.Requirement(pending.pop())
        marker = requirement.marker
        if marker is not None and not marker.evaluate({'extra': ''}):
            continue
        if requirement.name in found:
            continue
        distribution = metadata.distribution(requirement.name)
        found[requirement.name] = distribution
        pending += distribution.requires or []
    return found


def copy_distribution(
    distribution: metadata.Distribution, folder: pathlib.Path
) -> None:
    """Copy an installed distribution without its scripts and caches."""
    for path in distribution.files or []:
        if '..' in path.parts or '__pycache__' in path.parts:
            continue
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(path.locate()), target)


def compute_digest(folder: pathlib.Path) -> str:
    """Return a digest of all file names and contents below ``folder``.

    It is the first 32 hexadecimal digits of a SHA-256.
    """
    digest = hashlib.sha256()
    for path in sorted(folder.rglob('*')):
        if path.is_file():
            digest.update(str(path.relative_to(folder)).encode())
            digest.update(path.read_bytes())
    return digest.hexdigest()[:32]


def build(output: pathlib.Path) -> None:
    """Build the zipapp at ``output``."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix='primroselock-') as name:
        stage = pathlib.Path(name)
        payload = stage / 'payload'
        shutil.copytree(
            _ROOT / 'primroselock',
            payload / 'primroselock',
            ignore=shutil.ignore_patterns('test', '__pycache__'),
        )
        for found in find_distributions(read_dependencies()).values():
            copy_distribution(found, payload)
        compileall.compile_dir(
            payload,
            quiet=2,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        (stage / 'digest').write_text(
            compute_digest(payload), encoding='ascii'
        )
        shutil.copyfile(_ENTRY_SCRIPT, stage / '__main__.py')
        zipapp.create_archive(stage, output, _INTERPRETER, compressed=True)


def main() -> int:
    """Build the zipapp and print its size; return the exit code."""
    parser = argparse.ArgumentParser(
        prog='python -m tools.binary', description='Builds the zipapp.'
    )
    parser.add_argument('output', type=pathlib.Path)
    output: pathlib.Path = parser.parse_args().output
    build(output)
    print(f'{output}: {output.stat().st_size / 1e6:.1f} MB')
    return 0


if __name__ == '__main__':
    sys.exit(main())
