"""Entry point of the zipapp: unpacks the libraries, then runs the program.

Extension modules cannot be loaded from a zip file.  The libraries are
therefore unpacked once, below ``PRIMROSELOCK_UNPACK_DIR``, by default a
folder of the user in the temporary folder, which is in memory on VMs
without a disk.  Processes that start at the same time may each unpack a
copy; the first to rename its copy into place wins.  No process is started.
"""

import os
import pathlib
import shutil
import sys
import tempfile
import zipfile

_PAYLOAD = 'payload/'
_DIGEST = 'digest'
_UNPACK_DIR_VARIABLE = 'PRIMROSELOCK_UNPACK_DIR'


def _open_folder() -> pathlib.Path:
    """Return the folder for unpacked copies; create it if needed.

    Exits if the folder belongs to another user or others may write to it.
    """
    default = f'{tempfile.gettempdir()}/primroselock-{os.getuid()}'
    folder = pathlib.Path(os.environ.get(_UNPACK_DIR_VARIABLE, default))
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    status = folder.lstat()
    if status.st_uid != os.getuid() or status.st_mode & 0o022:
        sys.exit(f'primroselock: {folder}: others own it or can write to it')
    return folder


def _unpack(archive: zipfile.ZipFile, folder: pathlib.Path) -> pathlib.Path:
    """Return the folder of the unpacked copy of this archive."""
    copy = folder / archive.read(_DIGEST).decode()
    if copy.exists():
        return copy
    scratch = tempfile.mkdtemp(dir=folder)
    names = [name for name in archive.namelist() if name.startswith(_PAYLOAD)]
    archive.extractall(scratch, names)
    try:
        os.rename(f'{scratch}/{_PAYLOAD}', copy)
    except OSError:
        if not copy.exists():
            raise
    shutil.rmtree(scratch)
    return copy


def main() -> None:
    """Unpack the libraries if necessary and run the program."""
    with zipfile.ZipFile(sys.argv[0]) as archive:
        copy = _unpack(archive, _open_folder())
    sys.path.insert(0, str(copy))
    from primroselock import main as program

    program.console_main()


if __name__ == '__main__':
    main()
