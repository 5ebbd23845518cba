"""Names of all metrics, listed in ``docs/metrics.md``."""

from enum import StrEnum, unique


@unique
class Metric(StrEnum):
    """Metric names, without the prefix that each sink adds."""

    # Look-ups and requests.
    LOOKUPS = 'lookups'
    LOOKUP_TIME = 'lookup_time'
    REQUESTS = 'requests'
    REQUESTS_REFUSED = 'requests_refused'
    REQUESTS_FORWARDED = 'requests_forwarded'
    REQUEST_TIME = 'request_time'
    REQUESTS_IN_FLIGHT = 'requests_in_flight'
    RETRIES = 'retries'
    RUNS_WARM = 'runs_warm'
    RUNS_COLD = 'runs_cold'
    REFUSED_NO_ROOM = 'refused_no_room'
    REFUSED_OVER_RATE = 'refused_over_rate'
    REFUSED_NOT_READY = 'refused_not_ready'

    # Connections of callers.
    CALLER_BYTES = 'caller_bytes'
    CALLER_DESCRIPTORS = 'caller_descriptors'
    CALLERS_CLOSED_MEMORY = 'callers_closed_memory'
    CALLERS_CLOSED_DESCRIPTORS = 'callers_closed_descriptors'
    CALLERS_CLOSED_HEAD = 'callers_closed_head'
    CALLERS_CLOSED_RESPONSE = 'callers_closed_response'

    # Allowances.
    TOKENS_REQUESTED = 'tokens_requested'
    LOANS_OUT = 'loans_out'
    LOAN_TOKENS_ACCEPTED = 'loan_tokens_accepted'
    GRANTS_DROPPED = 'grants_dropped'

    # Backend servers.
    BACKENDS_EJECTED = 'backends_ejected'
    BACKENDS_UNCONFIRMED = 'backends_unconfirmed'
    HEALTH_CHECKS = 'health_checks'
    REJECTIONS_FULL = 'rejections_full'
    REJECTIONS_PARTIAL = 'rejections_partial'
    LIMITS_NAMED = 'limits_named'
    LIMITS_UNREADABLE = 'limits_unreadable'
    LIMITED_SERVERS = 'limited_servers'
    PERMITS_REQUESTED = 'permits_requested'
    PERMITS_GRANTED = 'permits_granted'
    PACED_SERVERS = 'paced_servers'
    READINGS_SENT = 'readings_sent'
    READINGS_RECEIVED = 'readings_received'
    DEMAND_REPORTS_RECEIVED = 'demand_reports_received'
    CONNECTIONS_SILENT = 'connections_silent'
    UPSTREAM_CONNECTIONS = 'upstream_connections'

    # Peers, platform and configuration.
    PEERS_CONNECTED = 'peers_connected'
    PLATFORM_CALLS = 'platform_calls'
    PLATFORM_FAILURES = 'platform_failures'
    WATCHES_RENEWED = 'watches_renewed'
    CONFIGURATION_REVISION = 'configuration_revision'
    CONFIGURATION_NEWEST = 'configuration_newest'
    CONFIGURATION_BEHIND = 'configuration_behind_seconds'
    STORE_ERA = 'store_era'
    STORE_ERAS_BEGUN = 'store_eras_begun'
    ENTRIES_RESTORED = 'entries_restored'
    ENTRIES_MISSING = 'entries_missing'

    # Steering.
    PLAN_REVISION = 'plan_revision'
    PLAN_PROPOSALS = 'plan_proposals'
    PLAN_CONFLICTS = 'plan_conflicts'
    LOAD_POLLS_FAILED = 'load_polls_failed'
