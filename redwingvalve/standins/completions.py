"""OpenAI-compatible requests and responses of a fake engine."""

import json
import typing

import attrs

from redwingvalve.standins import generated_text

DONE = b'data: [DONE]\n\n'


@attrs.frozen
class CompletionRequest:
    """A parsed request; resumed counts tokens that were delivered before."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    stream: bool
    chat: bool
    resumed: int


def parse_request(
    path: str, request_id: str, body: dict[str, typing.Any]
) -> CompletionRequest:
    """Parse a JSON body; ValueError if it is malformed."""
    max_tokens = int(body.get('max_tokens', generated_text.DEFAULT_MAX_TOKENS))
    if max_tokens < 1:
        raise ValueError('max_tokens must be at least 1')
    resume = body.get('resume') or {}
    return CompletionRequest(
        request_id=request_id,
        prompt=generated_text.prompt_text(body),
        max_tokens=max_tokens,
        priority=int(body.get('priority', 0)),
        stream=bool(body.get('stream', False)),
        chat=path.endswith('/chat/completions'),
        resumed=min(len(resume.get('tokens', ())), max_tokens),
    )


@attrs.frozen
class ResponseBuilder:
    """Builds the stream chunks or the full response of a request."""

    request: CompletionRequest
    model: str

    @property
    def completion_id(self) -> str:
        """Return the completion id, which every chunk carries."""
        prefix = 'chatcmpl' if self.request.chat else 'cmpl'
        return f'{prefix}-{self.request.request_id}'

    def chunk(self, text: str, *, last: bool) -> bytes:
        """Return an SSE event with the text of one token."""
        choice: dict[str, typing.Any] = {
            'index': 0,
            'finish_reason': 'length' if last else None,
        }
        if self.request.chat:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        return f'data: {json.dumps(self._body(choice, "chunk"))}\n\n'.encode()

    def whole(self, text: str) -> dict[str, typing.Any]:
        """Return the body of a non-streamed response."""
        choice: dict[str, typing.Any] = {'index': 0, 'finish_reason': 'length'}
        if self.request.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        prompt_tokens = generated_text.count_prompt_tokens(self.request.prompt)
        usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self.request.max_tokens,
            'total_tokens': prompt_tokens + self.request.max_tokens,
        }
        return {**self._body(choice, ''), 'usage': usage}

    def _body(
        self, choice: dict[str, typing.Any], suffix: str
    ) -> dict[str, typing.Any]:
        kind = 'chat.completion' if self.request.chat else 'text_completion'
        if suffix and self.request.chat:
            kind = f'{kind}.{suffix}'
        return {
            'id': self.completion_id,
            'object': kind,
            'model': self.model,
            'choices': [choice],
        }
