"""Files that don't belong into the repository."""

import pathlib
import subprocess

ROOT = pathlib.Path(__file__).parent.parent
# Written by the users' bench, and kept as they were written.
JOURNAL = 'journal/'
SAMPLE_BYTES = 8192


def tracked_files():
    listed = subprocess.run(
        ('git', 'ls-files', '-z'), cwd=ROOT, check=True, capture_output=True
    )
    names = listed.stdout.decode().split('\0')
    return [name for name in names if name and not name.startswith(JOURNAL)]


def is_binary(path):
    with path.open('rb') as opened:
        return b'\0' in opened.read(SAMPLE_BYTES)


def test_no_binary_file_is_tracked():
    """Once a wheel of 3 MB was committed by mistake."""
    names = tracked_files()
    assert 'README.md' in names
    paths = {name: ROOT / name for name in names}
    assert not [
        name
        for name, path in paths.items()
        if path.is_file() and is_binary(path)
    ]
