"""A client like that of a user: looks up an entry, then streams from it."""

import json
import typing

import attrs
import httpx

from redwingvalve.core import outcomes

TIMEOUT_S = 30.0
DONE = 'data: [DONE]'


@attrs.frozen
class StreamedCompletion:
    """A received stream; whole is whether [DONE] was received."""

    status: int
    entry: str
    text: str
    chunks: int
    whole: bool
    outcome: str
    request_id: str


class DemoClient:
    """Looks up entries at seed_entries and calls them with a credential."""

    def __init__(self, seed_entries: tuple[str, ...], credential: str) -> None:
        """Take seed_entries as host:port, in the order to try."""
        self._seed_entries = seed_entries
        self._headers = {'authorization': f'Bearer {credential}'}

    async def entry_address(self) -> str:
        """Ask the entries in turn; return the entry that the first names."""
        async with self._client() as client:
            for address in self._seed_entries:
                try:
                    response = await client.get(f'http://{address}/v1/entries')
                except httpx.HTTPError:
                    continue
                return str(response.json()['entries'][0]['address'])
        raise ConnectionError('no seed entry responded')

    async def stream_chat(
        self, deployment: str, prompt: str, max_tokens: int
    ) -> StreamedCompletion:
        """Stream a chat completion and check that it is complete."""
        address = await self.entry_address()
        body = {
            'model': deployment,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        url = f'http://{address}/v1/chat/completions'
        async with (
            self._client() as client,
            client.stream('POST', url, json=body) as response,
        ):
            lines = [line async for line in response.aiter_lines() if line]
            return _read_stream(response, address, lines)

    async def post(self, path: str, body: typing.Any) -> httpx.Response:
        """Call an HTTP service through an entry."""
        address = await self.entry_address()
        async with self._client() as client:
            return await client.post(f'http://{address}{path}', json=body)

    def _client(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(headers=self._headers, timeout=TIMEOUT_S)


def _read_stream(
    response: httpx.Response, address: str, lines: list[str]
) -> StreamedCompletion:
    pieces = [
        json.loads(line.removeprefix('data: '))
        for line in lines
        if line.startswith('data: {')
    ]
    contents = [
        piece['choices'][0].get('delta', {}).get('content') or ''
        for piece in pieces
        if piece.get('choices')
    ]
    return StreamedCompletion(
        response.status_code,
        address,
        ''.join(contents),
        sum(1 for content in contents if content),
        bool(lines) and lines[-1] == DONE,
        response.headers.get(outcomes.OUTCOME_HEADER, ''),
        response.headers.get(outcomes.REQUEST_ID_HEADER, ''),
    )
