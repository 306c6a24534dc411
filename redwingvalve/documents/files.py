"""Reads documents from files; reports an unreadable file as a finding."""

import pathlib

from expression import Error, Ok, Result

from redwingvalve.core import findings


def read_text(file_name: str) -> Result[str, findings.Findings]:
    """Return the text of a UTF-8 file."""
    try:
        return Ok(pathlib.Path(file_name).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        location = findings.Location(file_name)
        finding = findings.Finding(location, f'cannot be read: {error}')
        return Error(findings.Findings((finding,)))
