"""Names of the HTTP headers of the platform."""

from chivelead_config import HeaderNames

HEADERS = HeaderNames(
    request_id='X-Request-Id',
    # The time that remains, in milliseconds, not a point in time.
    time_left_ms='X-Deadline-Ms',
    organisation='X-Tenant',
    # For callers outside the fleet, this is the service of the VM at which
    # the request arrived.
    origin_service='X-Caller-Service',
    expected_target='X-Expect-Instance',
    target_id='X-Instance-Id',
    target_load='X-Instance-Load',
    not_run='X-Not-Executed',
    response_stamp='X-Server-Stamp',
    key_scheme='Token',
)
