"""Names of the platform's headers, paths, topics and keys."""

from __future__ import annotations

from typing import Final

REQUEST_ID: Final = b'sesamepoint-request-id'
DEADLINE_MS: Final = b'sesamepoint-deadline-ms'
PROMPT_PREFIX: Final = b'sesamepoint-prompt-prefix'
TOKEN_COUNTS: Final = b'sesamepoint-token-count'
MODEL: Final = b'sesamepoint-model'
EXPECT_INCARNATION: Final = b'sesamepoint-expect-instance'
# A runner's signature of its response; a response without it is not from a runner.
SIGNATURE: Final = b'sesamepoint-server-stamp'
# In a refusal: the incarnation that has the address now.
INCARNATION: Final = b'sesamepoint-instance-id'
NOT_EXECUTED: Final = b'sesamepoint-not-executed'
PRIORITY: Final = b'sesamepoint-request-priority'
SERVING_STAGE: Final = b'sesamepoint-serving-stage'
KV_SOURCE: Final = b'sesamepoint-kv-source'
KV_FETCH: Final = b'kv-fetch'
LAST_EVENT_ID: Final = b'last-event-id'
# The request id of the attempt that brought the first event of a stream, on later attempts.
RESUMES: Final = b'resumes'
# The account that the caller's API key belongs to.
ACCOUNT: Final = b'sesamepoint-tenant'
AUTHORIZATION: Final = b'authorization'
AUTH_SCHEME: Final = b'bearer'
RETRY_AFTER: Final = b'retry-after'
# A runner's rate limit in requests per second, for all instances together.
RUNNER_LIMIT: Final = b'server-limit'
# The runner is draining: it accepts no new requests from any instance.
RUNNER_DRAINING: Final = b'server-leaving'
CONTENT_ENCODING: Final = b'content-encoding'

# Headers for runners that only the system may set; removed from callers'
# requests. With them a caller could read another caller's KV cache or occupy
# a runner's slots.
INTERNAL_HEADERS: Final = frozenset(
    (
        DEADLINE_MS,
        EXPECT_INCARNATION,
        PRIORITY,
        ACCOUNT,
        SERVING_STAGE,
        KV_SOURCE,
        b'sesamepoint-kv-hold',
        b'sesamepoint-pin-ms',
        b'sesamepoint-kv-backup',
        KV_FETCH,
    )
)
# Headers that apply to one connection only, or that are set anew on each hop.
HOP_BY_HOP: Final = frozenset(
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
# Forwarded even if a caller's Connection header lists them, so that the
# runner receives the request as the caller sent it.
FORWARDED_HEADERS: Final = frozenset((b'host', REQUEST_ID, MODEL, TOKEN_COUNTS, PROMPT_PREFIX, LAST_EVENT_ID))

# The store's epoch: how often the store was restored from an older copy.
STORE_EPOCH: Final = b'store-era'

REPORT_PATH: Final = '/v1/report'
READY_PATH: Final = '/v1/readyz'
KV_HANDLE_PATH: Final = '/v1/kv-handle/'
KV_LIST_PATH: Final = '/v1/kv-list'
OPERATOR_TOPIC: Final = 'keyed.op'
OPERATOR_KEY: Final = 'config'
RUNNER_TOPIC: Final = 'keyed.servers'
# Written by the instances: one record per instance, keyed by its name.
INSTANCE_TOPIC: Final = 'keyed.entries'
# Written by the instances: one record per quarantined request.
QUARANTINE_TOPIC: Final = 'keyed.quarantine'
# Written by the instances: one record of the software versions that they have seen, for those that start.
VERSIONS_TOPIC: Final = 'keyed.versions'
VERSIONS_KEY: Final = 'seen'
# Written by the instances for the operator: one record per instance, while it refuses the newest configuration.
STATUS_TOPIC: Final = 'keyed.status'
# Written by the instances: the lease for sending usage reports, and the newest report.
DUTY_TOPIC: Final = 'keyed.duty'
LEASE_KEY: Final = 'lease'
REPORT_KEY: Final = 'report'
USAGE_PATH: Final = '/usage'
USAGE_DUTY: Final = 'usage'
DUTY_HOLDER: Final = b'sesamepoint-duty-holder'
FENCING_TOKEN: Final = b'sesamepoint-fencing-token'
SETTINGS_VARIABLE: Final = 'SESAMEPOINT_CONFIG'
