"""Validation errors of an input with their locations, reported together."""

import attrs


@attrs.frozen
class Location:
    """Where a finding is; lines and columns count from 1, 0 is unknown."""

    file_name: str = ''
    line: int = 0
    column: int = 0
    path: str = ''

    def __str__(self) -> str:
        """Return file:line:column and the path within the document."""
        position = ''
        if self.line:
            position = f':{self.line}:{self.column}'
        where = f'{self.file_name}{position}'
        if not self.path:
            return where
        return f'{where} ({self.path})' if where else self.path


@attrs.frozen
class Finding:
    """One validation error, worded so that a person can correct it."""

    location: Location
    message: str

    def __str__(self) -> str:
        """Return the location and the message on one line."""
        return f'{self.location}: {self.message}'


@attrs.frozen
class Findings:
    """The error value of a check: one or more findings in document order."""

    entries: tuple[Finding, ...]

    def __str__(self) -> str:
        """Return one line per finding."""
        return '\n'.join(str(finding) for finding in self.entries)
