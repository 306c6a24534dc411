"""A request for a model, read from its JSON body."""

import types
import typing

import attrs
from expression import Error, Ok, Result

from redwingvalve.configuration import snapshot
from redwingvalve.core import outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import caller

CHAT_PATH = '/v1/chat/completions'
TEXT_PATH = '/v1/completions'
PROMPT_FIELDS = types.MappingProxyType(
    {CHAT_PATH: 'messages', TEXT_PATH: 'prompt'}
)
DEFAULT_MAX_TOKENS = 256


@attrs.frozen
class ModelRequest:
    """What the caller wants of a model; fields is the body as sent."""

    head: caller.CallerHead
    account: schema.ClientAccount
    deployment: schema.ModelDeployment
    fields: dict[str, typing.Any]
    stream: bool
    max_tokens: int
    idempotent: bool

    @property
    def priority(self) -> int:
        """Return the priority asked for, or the account's own."""
        if self.head.priority is None:
            return self.account.priority
        return self.head.priority

    @property
    def prompt(self) -> typing.Any:
        """Return the messages or the prompt."""
        return self.fields[PROMPT_FIELDS[self.head.path]]


def read_model_request(
    head: caller.CallerHead,
    account: schema.ClientAccount,
    body: bytes,
    current: snapshot.Snapshot,
) -> Result[ModelRequest, outcomes.ErrorResponse]:
    """Check the body and find the deployment it asks for."""
    parsed = caller.parse_json_object(body, head.request_id)
    if parsed.is_error():
        return Error(parsed.error)
    fields = parsed.ok
    problems = _problems(fields, PROMPT_FIELDS[head.path])
    if problems:
        return Error(caller.malformed('; '.join(problems), head.request_id))
    deployment = _find_deployment(fields['model'], current)
    if deployment is None:
        return Error(
            outcomes.ErrorResponse(
                status=404,
                code='unknown-model',
                message=f'no model is named {fields["model"]!r}',
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
        problems.append('body $.model: a string is wanted')
    if not _is_prompt(fields.get(prompt_field), prompt_field):
        problems.append(f'body $.{prompt_field}: missing or of another shape')
    if not isinstance(fields.get('stream', False), bool):
        problems.append('body $.stream: true or false is wanted')
    max_tokens = fields.get('max_tokens')
    if max_tokens is not None and not _is_count(max_tokens):
        problems.append('body $.max_tokens: a whole number above 0 is wanted')
    if 'resume' in fields:
        problems.append('body $.resume: only entries may set it')
    return problems


def _is_prompt(prompt: typing.Any, prompt_field: str) -> bool:
    if prompt_field == 'messages':
        return (
            isinstance(prompt, list)
            and bool(prompt)
            and all(isinstance(message, dict) for message in prompt)
        )
    return isinstance(prompt, (str, list)) and bool(prompt)


def _is_count(given: typing.Any) -> bool:
    return isinstance(given, int) and not isinstance(given, bool) and given > 0


def _find_deployment(
    wanted: str, current: snapshot.Snapshot
) -> schema.ModelDeployment | None:
    for deployment in current.deployments:
        if deployment.name == wanted:
            return deployment
    for deployment in current.deployments:
        if wanted == deployment.model or wanted in deployment.adapters:
            return deployment
    return None


def engine_model(request: ModelRequest) -> str:
    """Return the name under which the engine knows what is asked for."""
    wanted = request.fields['model']
    if wanted in request.deployment.adapters:
        return wanted
    return request.deployment.model
