"""Bounds on what another process makes this one hold."""

from chivelead_protocol._internal.bounded_responses import (
    BodyTooLargeError as BodyTooLargeError,
)
from chivelead_protocol._internal.bounded_responses import (
    BoundedResponseHandler as BoundedResponseHandler,
)
from chivelead_protocol._internal.bounded_responses import (
    bounded_connector as bounded_connector,
)
from chivelead_protocol._internal.bounded_responses import (
    read_limited as read_limited,
)
from chivelead_protocol._internal.errors_without_frames import (
    describe_error as describe_error,
)
from chivelead_protocol._internal.errors_without_frames import (
    release_frames as release_frames,
)
from chivelead_protocol._internal.errors_without_frames import (
    shorten as shorten,
)
from chivelead_protocol._internal.framing_limit import (
    FramingLimit as FramingLimit,
)
