"""How engines name prompt prefixes in their cache events.

One hash for each whole block of the prompt's text, over all text up to the
block's end, so that equal hashes mean equal beginnings. An engine that names
prefixes otherwise publishes nothing that an entry knows, and routing then
goes by what the entry sent itself.
"""

import hashlib
import typing
from collections import abc as collections_abc

BLOCK_CHARACTERS = 256
HASH_CHARACTERS = 16


def prompt_text(prompt: typing.Any) -> str:
    """Return the text of messages or of a plain prompt, as engines see it."""
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
    """Return the hashes after some numbers of blocks, which must rise."""
    running = hashlib.sha256()
    done = 0
    hashes: list[str] = []
    for count in block_counts:
        end = count * BLOCK_CHARACTERS
        if end > len(text):
            break
        running.update(text[done:end].encode())
        hashes.append(running.hexdigest()[:HASH_CHARACTERS])
        done = end
    return tuple(hashes)
