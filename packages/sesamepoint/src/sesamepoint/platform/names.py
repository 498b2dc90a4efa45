"""Names on the platform's wire, each said here once."""

from __future__ import annotations

from typing import Final

REQUEST_ID: Final = b'sesamepoint-request-id'
DEADLINE_MS: Final = b'sesamepoint-deadline-ms'
PROMPT_PARTS: Final = b'sesamepoint-prompt-prefix'
TOKEN_COUNTS: Final = b'sesamepoint-token-count'
MODEL: Final = b'sesamepoint-model'
EXPECT_INCARNATION: Final = b'sesamepoint-expect-instance'
# The runner's signature of an answer; an answer without it is not a runner's.
SIGNATURE: Final = b'sesamepoint-server-stamp'
# On a refusal: the incarnation that has the address now.
INCARNATION: Final = b'sesamepoint-instance-id'
NOT_RUN: Final = b'sesamepoint-not-executed'
PRIORITY: Final = b'sesamepoint-request-priority'
STAGE: Final = b'sesamepoint-serving-stage'
KV_SOURCE: Final = b'sesamepoint-kv-source'
KV_FETCH: Final = b'kv-fetch'
LAST_EVENT: Final = b'last-event-id'
# Names the account of the key that a caller showed.
ACCOUNT: Final = b'sesamepoint-tenant'
AUTHORIZATION: Final = b'authorization'
KEY_SCHEME: Final = b'bearer'
RETRY_AFTER: Final = b'retry-after'
# The requests a second that a runner takes from all instances together.
RUNNER_LIMIT: Final = b'server-limit'
# It wants no new requests from anybody.
RUNNER_LEAVING: Final = b'server-leaving'
CONTENT_ENCODING: Final = b'content-encoding'

# Headers that only the system may set towards a runner. A caller that set
# them could take over another's memory or hold a runner's slots.
SYSTEM_ONLY: Final = frozenset(
    (
        DEADLINE_MS,
        EXPECT_INCARNATION,
        PRIORITY,
        ACCOUNT,
        STAGE,
        KV_SOURCE,
        b'sesamepoint-kv-hold',
        b'sesamepoint-pin-ms',
        b'sesamepoint-kv-backup',
        KV_FETCH,
    )
)
# Headers that concern one connection only, or that are set anew per hop.
ONE_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)
# Never dropped, even if a caller's Connection header lists them: a runner
# must see the request as its caller sent it.
ALWAYS_FORWARDED: Final = frozenset((b'host', REQUEST_ID, MODEL, TOKEN_COUNTS, PROMPT_PARTS, LAST_EVENT))

# How often the store has come back from an older copy.
STORE_ERA: Final = b'store-era'

READY_PATH: Final = '/v1/readyz'
KV_HANDLE_PATH: Final = '/v1/kv-handle/'
KV_LIST_PATH: Final = '/v1/kv-list'
OPERATOR_TOPIC: Final = 'keyed.op'
OPERATOR_KEY: Final = 'config'
RUNNER_TOPIC: Final = 'keyed.servers'
# A topic of our own: one record an entry, under its name.
ENTRY_TOPIC: Final = 'keyed.entries'
# Another: one record for each request that may not be sent any more.
QUARANTINE_TOPIC: Final = 'keyed.quarantine'
# Another: the lease of the reports on use, and the newest report.
DUTY_TOPIC: Final = 'keyed.duty'
LEASE_KEY: Final = 'lease'
REPORT_KEY: Final = 'report'
USAGE_PATH: Final = '/usage'
USAGE_DUTY: Final = 'usage'
DUTY_HOLDER: Final = b'sesamepoint-duty-holder'
FENCING_NUMBER: Final = b'sesamepoint-fencing-token'
SETTINGS_VARIABLE: Final = 'SESAMEPOINT_CONFIG'
