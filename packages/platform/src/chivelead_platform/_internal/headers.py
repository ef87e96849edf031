"""Names of the headers that callers, nodes and targets use."""

from chivelead_config import HeaderNames

HEADERS = HeaderNames(
    request_id='X-Request-Id',
    # A span of time from now on, no point in time.
    time_left_ms='X-Deadline-Ms',
    organisation='X-Tenant',
    # Set for outside callers too: the service of the VM they came to.
    origin_service='X-Caller-Service',
    expected_target='X-Expect-Instance',
    target_id='X-Instance-Id',
    target_load='X-Instance-Load',
    not_run='X-Not-Executed',
    response_stamp='X-Server-Stamp',
    key_scheme='Token',
)
