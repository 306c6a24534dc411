"""Paths, headers, object kinds and variables of the platform's protocol."""

import typing

SETTINGS_VARIABLE: typing.Final = 'REDWINGVALVE_BOOT'
DEFAULT_SETTINGS_PATH: typing.Final = '/etc/redwingvalve/settings.json'

READY_PATH: typing.Final = '/redwingvalve/ready'
RESOLVE_PATH: typing.Final = '/redwingvalve/resolve'
ORDER_PATH: typing.Final = '/redwingvalve/order'
REPORT_PATH: typing.Final = '/redwingvalve/report'
OBJECTS_PATH: typing.Final = '/redwingvalve/objects/'

# Kinds of objects that the platform writes to its store.
ENDPOINT_KIND: typing.Final = 'servers'
CONFIGURATION_KIND: typing.Final = 'config'
CONFIGURATION_NAME: typing.Final = 'main'
EVACUATION_KIND: typing.Final = 'evacuations'

# Headers, in lower case because they are compared that way.
ATTEMPT_ID_HEADER: typing.Final = b'x-attempt-id'
DEADLINE_MS_HEADER: typing.Final = b'x-deadline-ms'
API_KEY_HEADER: typing.Final = b'api-key'
CLIENT_ACCOUNT_HEADER: typing.Final = b'x-tenant'
EXPECTED_ENDPOINT_HEADER: typing.Final = b'x-expect-instance'
EXPECTED_VERSION_HEADER: typing.Final = b'x-expect-version'
URGENCY_HEADER: typing.Final = b'x-request-urgency'
MODEL_HEADER: typing.Final = b'x-model'
TOKEN_COUNTS_HEADER: typing.Final = b'x-token-counts'
PROMPT_PREFIX_HEADER: typing.Final = b'x-prompt-prefix'
LAST_EVENT_ID_HEADER: typing.Final = b'last-event-id'
SEAL_HEADER: typing.Final = b'x-server-seal'
NOT_RUN_HEADER: typing.Final = b'x-not-run'
RATE_LIMIT_HEADER: typing.Final = b'server-limit'
LEAVING_HEADER: typing.Final = b'server-leaving'
COLD_MS_HEADER: typing.Final = b'x-cold-ms'
RETRY_AFTER_HEADER: typing.Final = b'retry-after'
ENDPOINT_AT_FAULT_HEADER: typing.Final = b'at-server'
# Headers of requests that one node forwards to another: the attempts left, and
# whether the caller retries after a refusal.
ATTEMPTS_LEFT_HEADER: typing.Final = b'x-redwingvalve-attempts'
HAS_RETURNED_HEADER: typing.Final = b'x-redwingvalve-returned'
# Query parameter of directory requests.
DATA_CENTRE_PARAMETER = 'zone'
