"""What a stand-in engine answers: a pure function of prompt, model, position.

A test can therefore tell a whole answer from a truncated or foreign one
without having seen the request run.
"""

import hashlib
import typing

from redwingvalve.platform_api import prefix_hashes as prefixes

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = prefixes.BLOCK_CHARACTERS
DEFAULT_MAX_TOKENS = 16


def token_text(prompt: str, model: str, version: str, position: int) -> str:
    """Return the token at a position, counted from 0."""
    seed = f'{prompt}|{model}|{version}|{position}'
    digest = hashlib.sha256(seed.encode()).hexdigest()
    return f' t{position}-{digest[:6]}'


def full_text(prompt: str, model: str, version: str, count: int) -> str:
    """Return the whole answer of count tokens."""
    return ''.join(
        token_text(prompt, model, version, position)
        for position in range(count)
    )


def prompt_text(body: dict[str, typing.Any]) -> str:
    """Return the prompt of a chat or plain completion request."""
    if 'messages' not in body:
        return str(body.get('prompt', ''))
    return prefixes.prompt_text(body['messages'])


def prompt_digest(prompt: str) -> str:
    """Return the digest under which the ledger keeps a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:16]


def count_prompt_tokens(prompt: str) -> int:
    """Return how many tokens the prompt takes."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return one hash for each whole block, over all text up to its end."""
    blocks = len(prompt) // PREFIX_BLOCK_CHARACTERS
    return prefixes.prefix_hashes(prompt, range(1, blocks + 1))
