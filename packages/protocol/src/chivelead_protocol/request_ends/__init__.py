"""Messages about requests that end without the answer of a target."""

from chivelead_protocol._internal.request_end_messages import (
    EndCounts as EndCounts,
)
from chivelead_protocol._internal.request_end_messages import (
    EndCountsHandover as EndCountsHandover,
)
