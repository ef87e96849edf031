"""Names of the HTTP headers of the platform."""

from chivelead_config import HeaderNames

HEADERS = HeaderNames(
    request_id='X-Request-Id',
    # Despite the name of the header, this is the time left until the
    # deadline, not a point in time.
    time_left_ms='X-Deadline-Ms',
    organisation='X-Tenant',
    # If the caller is outside the fleet, this is the service of the VM that
    # the request reached first.
    origin_service='X-Caller-Service',
    expected_target='X-Expect-Instance',
    target_id='X-Instance-Id',
    target_load='X-Instance-Load',
    target_rate_limit='Server-Limit',
    target_leaving='Server-Leaving',
    not_run='X-Not-Executed',
    response_stamp='X-Server-Stamp',
    key_scheme='Token',
)
