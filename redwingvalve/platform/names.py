"""Names that the platform uses on the wire."""

import typing

SETTINGS_VARIABLE: typing.Final = 'REDWINGVALVE_BOOT'
DEFAULT_SETTINGS_PATH: typing.Final = '/etc/redwingvalve/settings.json'

READY_PATH: typing.Final = '/redwingvalve/ready'
RESOLVE_PATH: typing.Final = '/redwingvalve/resolve'
ORDER_PATH: typing.Final = '/redwingvalve/order'
REPORT_PATH: typing.Final = '/redwingvalve/report'
OBJECTS_PATH: typing.Final = '/redwingvalve/objects/'

# Kinds that the platform itself writes.
ENDPOINT_KIND: typing.Final = 'servers'
CONFIGURATION_KIND: typing.Final = 'config'
CONFIGURATION_NAME: typing.Final = 'main'

# Headers in lower case, as they are compared.
ATTEMPT_ID: typing.Final = b'x-attempt-id'
DEADLINE_MS: typing.Final = b'x-deadline-ms'
API_KEY: typing.Final = b'api-key'
CLIENT_ACCOUNT: typing.Final = b'x-tenant'
EXPECTED_ENDPOINT: typing.Final = b'x-expect-instance'
EXPECTED_WEIGHTS: typing.Final = b'x-expect-version'
URGENCY: typing.Final = b'x-request-urgency'
MODEL: typing.Final = b'x-model'
TOKEN_COUNTS: typing.Final = b'x-token-counts'
PROMPT_PREFIX: typing.Final = b'x-prompt-prefix'
LAST_EVENT_ID: typing.Final = b'last-event-id'
SEAL: typing.Final = b'x-server-seal'
NOT_RUN: typing.Final = b'x-not-run'
ENDPOINT_AT_FAULT: typing.Final = b'at-server'
# In the query of callers that ask the directory.
DATA_CENTRE_PARAMETER = 'zone'
