"""Bounds on what another process makes this one hold."""

from chivelead_protocol._internal import edges as edges
from chivelead_protocol._internal.bounded_responses import (
    BodyTooLargeError as BodyTooLargeError,
)
from chivelead_protocol._internal.bounded_responses import (
    BoundedResponseHandler as BoundedResponseHandler,
)
from chivelead_protocol._internal.bounded_responses import (
    read_limited as read_limited,
)
from chivelead_protocol._internal.connection_memory import (
    ConnectionAccount as ConnectionAccount,
)
from chivelead_protocol._internal.connection_memory import (
    ConnectionMemory as ConnectionMemory,
)
from chivelead_protocol._internal.counted_responses import (
    CountedResponseHandler as CountedResponseHandler,
)
from chivelead_protocol._internal.counted_responses import (
    bounded_connector as bounded_connector,
)
from chivelead_protocol._internal.delivery import (
    unread_bytes as unread_bytes,
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
from chivelead_protocol._internal.frame_rooms import (
    FrameRooms as FrameRooms,
)
from chivelead_protocol._internal.frame_rooms import (
    UnlimitedRooms as UnlimitedRooms,
)
from chivelead_protocol._internal.framing_limit import (
    FramingLimit as FramingLimit,
)
from chivelead_protocol._internal.framing_limit import (
    count_field_lines as count_field_lines,
)
from chivelead_protocol._internal.parse_turns import (
    FREE_BYTES as FREE_BYTES,
)
from chivelead_protocol._internal.parse_turns import (
    TURN_BYTES as TURN_BYTES,
)
from chivelead_protocol._internal.parse_turns import (
    ParseTurns as ParseTurns,
)
from chivelead_protocol._internal.unread_bodies import (
    unread_body_bytes as unread_body_bytes,
)
