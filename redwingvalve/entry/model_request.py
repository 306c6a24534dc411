"""A request for a model, read from its JSON body."""

import types
import typing

import attrs
from expression import Error, Ok, Result

from redwingvalve.configuration import snapshot
from redwingvalve.core import outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import caller_request

CHAT_PATH = '/v1/chat/completions'
TEXT_PATH = '/v1/completions'
PROMPT_FIELDS = types.MappingProxyType(
    {CHAT_PATH: 'messages', TEXT_PATH: 'prompt'}
)
DEFAULT_MAX_TOKENS = 256


@attrs.frozen
class ModelRequest:
    """A parsed model request; fields is the JSON body as sent."""

    head: caller_request.RequestHead
    account: schema.ClientAccount
    deployment: schema.ModelDeployment
    fields: dict[str, typing.Any]
    stream: bool
    max_tokens: int
    idempotent: bool

    @property
    def priority(self) -> int:
        """Return the requested priority, or else the account's."""
        if self.head.priority is None:
            return self.account.priority
        return self.head.priority

    @property
    def prompt(self) -> typing.Any:
        """Return the messages or the prompt."""
        return self.fields[PROMPT_FIELDS[self.head.path]]


def read_model_request(
    head: caller_request.RequestHead,
    account: schema.ClientAccount,
    body: bytes,
    current: snapshot.Snapshot,
) -> Result[ModelRequest, outcomes.ErrorResponse]:
    """Validate the body and find the requested deployment."""
    parsed = caller_request.parse_json_object(body, head.request_id)
    if parsed.is_error():
        return Error(parsed.error)
    fields = parsed.ok
    problems = _problems(fields, PROMPT_FIELDS[head.path])
    if problems:
        return Error(
            caller_request.malformed('; '.join(problems), head.request_id)
        )
    deployment = _find_deployment(fields['model'], current)
    if deployment is None:
        return Error(
            outcomes.ErrorResponse(
                status=404,
                code='unknown-model',
                message=f'unknown model {fields["model"]!r}',
                outcome=outcomes.Outcome.NOT_RUN,
                request_id=head.request_id,
            )
        )
    return Ok(
        ModelRequest(
            head=head,
            account=account,
            deployment=deployment,
            fields=fields,
            stream=fields.get('stream', False),
            max_tokens=fields.get('max_tokens') or DEFAULT_MAX_TOKENS,
            idempotent=head.idempotent is not False and not head.request_key,
        )
    )


def _problems(fields: dict[str, typing.Any], prompt_field: str) -> list[str]:
    problems: list[str] = []
    if not isinstance(fields.get('model'), str):
        problems.append('body $.model: must be a string')
    if not _is_prompt(fields.get(prompt_field), prompt_field):
        problems.append(f'body $.{prompt_field}: missing or of the wrong type')
    if not isinstance(fields.get('stream', False), bool):
        problems.append('body $.stream: must be true or false')
    max_tokens = fields.get('max_tokens')
    if max_tokens is not None and not _is_count(max_tokens):
        problems.append('body $.max_tokens: must be a positive integer')
    if 'resume' in fields:
        problems.append('body $.resume: reserved for entries')
    return problems


def _is_prompt(prompt: typing.Any, prompt_field: str) -> bool:
    if prompt_field == 'messages':
        return (
            isinstance(prompt, list)
            and bool(prompt)
            and all(isinstance(message, dict) for message in prompt)
        )
    return isinstance(prompt, (str, list)) and bool(prompt)


def _is_count(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _find_deployment(
    model_name: str, current: snapshot.Snapshot
) -> schema.ModelDeployment | None:
    for deployment in current.deployments:
        if deployment.name == model_name:
            return deployment
    for deployment in current.deployments:
        if model_name == deployment.model or model_name in deployment.adapters:
            return deployment
    return None


def engine_model(request: ModelRequest) -> str:
    """Return the name of the requested model or adapter at the engine."""
    model_name = request.fields['model']
    if model_name in request.deployment.adapters:
        return model_name
    return request.deployment.model
