"""Text that a fake engine generates for a prompt, model and position.

It is a pure function of these, so a test can tell a complete response from a
truncated one, or from that of another request, without tracing the run.
"""

import hashlib
import typing

from redwingvalve.platform_api import prefix_hashes as prefixes

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = prefixes.BLOCK_CHARACTERS
DEFAULT_MAX_TOKENS = 16


def token_text(prompt: str, model: str, version: str, position: int) -> str:
    """Return the token at a position; positions start at 0."""
    seed = f'{prompt}|{model}|{version}|{position}'
    digest = hashlib.sha256(seed.encode()).hexdigest()
    return f' t{position}-{digest[:6]}'


def full_text(prompt: str, model: str, version: str, count: int) -> str:
    """Return the complete text of count tokens."""
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
    """Return the digest that identifies a prompt in the ledger."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:16]


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens in the prompt, at least 1."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return a hash per full block, each over the text up to its end."""
    blocks = len(prompt) // PREFIX_BLOCK_CHARACTERS
    return prefixes.prefix_hashes(prompt, range(1, blocks + 1))
