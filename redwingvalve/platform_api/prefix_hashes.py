"""The hashes that identify prompt prefixes in the engines' cache events.

There is one hash for each whole block of the prompt's text, over all text up
to the end of the block, so equal hashes mean equal prefixes. If an engine
uses other hashes, entries don't recognize them, and routing uses only the
requests that the entry has sent itself.
"""

import hashlib
import typing
from collections import abc as collections_abc

BLOCK_CHARACTERS = 256
HASH_CHARACTERS = 16


def prompt_text(prompt: typing.Any) -> str:
    """Return the text of messages or of a plain prompt, as engines do."""
    if not isinstance(prompt, list):
        return str(prompt)
    if not all(isinstance(message, dict) for message in prompt):
        return str(prompt)
    return '\n'.join(
        f'{message.get("role", "")}: {message.get("content", "")}'
        for message in prompt
    )


def prefix_hashes(
    text: str, block_counts: collections_abc.Iterable[int]
) -> tuple[str, ...]:
    """Return the hashes at the given block counts, in increasing order."""
    digest = hashlib.sha256()
    hashed_characters = 0
    hashes: list[str] = []
    for count in block_counts:
        end = count * BLOCK_CHARACTERS
        if end > len(text):
            break
        digest.update(text[hashed_characters:end].encode())
        hashes.append(digest.hexdigest()[:HASH_CHARACTERS])
        hashed_characters = end
    return tuple(hashes)
