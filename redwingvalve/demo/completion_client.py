"""A caller as a user would write one: asks for an address, then streams."""

import json
import typing

import attrs
import httpx

from redwingvalve.core import outcomes

TIMEOUT_S = 30.0
DONE = 'data: [DONE]'


@attrs.frozen
class StreamedCompletion:
    """What a caller received; whole is true when the end was seen."""

    status: int
    entry: str
    text: str
    chunks: int
    whole: bool
    outcome: str
    request_id: str


class DemoClient:
    """Calls with one credential; any of first_entries is asked first."""

    def __init__(self, first_entries: tuple[str, ...], credential: str) -> None:
        """Know where to ask which address to use."""
        self._first = first_entries
        self._headers = {'authorization': f'Bearer {credential}'}

    async def entry_address(self) -> str:
        """Ask which entry to use; any entry of the list may answer."""
        async with self._client() as client:
            for address in self._first:
                try:
                    answer = await client.get(f'http://{address}/v1/entries')
                except httpx.HTTPError:
                    continue
                return str(answer.json()['entries'][0]['address'])
        raise ConnectionError('no entry answers')

    async def stream_chat(
        self, deployment: str, prompt: str, max_tokens: int
    ) -> StreamedCompletion:
        """Stream one chat completion and check that it is whole."""
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
            client.stream('POST', url, json=body) as answer,
        ):
            lines = [line async for line in answer.aiter_lines() if line]
            return _read_stream(answer, address, lines)

    async def post(self, path: str, body: typing.Any) -> httpx.Response:
        """Call a plain service through an entry."""
        address = await self.entry_address()
        async with self._client() as client:
            return await client.post(f'http://{address}{path}', json=body)

    def _client(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(headers=self._headers, timeout=TIMEOUT_S)


def _read_stream(
    answer: httpx.Response, address: str, lines: list[str]
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
        answer.status_code,
        address,
        ''.join(contents),
        sum(1 for content in contents if content),
        bool(lines) and lines[-1] == DONE,
        answer.headers.get(outcomes.OUTCOME_HEADER, ''),
        answer.headers.get(outcomes.REQUEST_ID_HEADER, ''),
    )
