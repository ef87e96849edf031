"""Messages, codec, clock and links between chivelead processes."""

from chivelead_protocol._internal.clock import HybridClock as HybridClock
from chivelead_protocol._internal.clock import format_stamp as format_stamp
from chivelead_protocol._internal.clock import loop_ms as loop_ms
from chivelead_protocol._internal.clock import now_ms as now_ms
from chivelead_protocol._internal.clock import stamp_ms as stamp_ms
from chivelead_protocol._internal.codec import decode_frame as decode_frame
from chivelead_protocol._internal.codec import encode_frame as encode_frame
from chivelead_protocol._internal.link import PeerLink as PeerLink
from chivelead_protocol._internal.link_server import PeerServer as PeerServer
from chivelead_protocol._internal.exceptions import (
    AuthenticationError as AuthenticationError,
    ChiveleadError as ChiveleadError,
    ConfigurationError as ConfigurationError,
    HistoryLostError as HistoryLostError,
    LeaseEndedError as LeaseEndedError,
    LinkError as LinkError,
    LinkLostError as LinkLostError,
    LinkNotOpenError as LinkNotOpenError,
    ProtocolError as ProtocolError,
    ReplyTimeoutError as ReplyTimeoutError,
    StoreConflictError as StoreConflictError,
    StoreError as StoreError,
    StoreUnavailableError as StoreUnavailableError,
)
from chivelead_protocol._internal.messages import (
    Acknowledged as Acknowledged,
    BorrowUnits as BorrowUnits,
    CallCancel as CallCancel,
    CallReply as CallReply,
    CallRequest as CallRequest,
    DocumentText as DocumentText,
    DocumentsOffer as DocumentsOffer,
    DocumentsPull as DocumentsPull,
    DocumentsUpdate as DocumentsUpdate,
    DrainRequest as DrainRequest,
    Failure as Failure,
    Gossip as Gossip,
    GuardBegin as GuardBegin,
    GuardEntry as GuardEntry,
    GuardFinish as GuardFinish,
    GuardHandover as GuardHandover,
    GuardVerdict as GuardVerdict,
    Headers as Headers,
    Hello as Hello,
    Loan as Loan,
    Member as Member,
    MemberSummary as MemberSummary,
    MemberTable as MemberTable,
    Need as Need,
    Outcome as Outcome,
    Ping as Ping,
    Pong as Pong,
    ReturnUnits as ReturnUnits,
    SharesReleased as SharesReleased,
    StatusQuery as StatusQuery,
    StatusReport as StatusReport,
    TakeTokens as TakeTokens,
    TargetState as TargetState,
    TimelineEvent as TimelineEvent,
    TimelineEvents as TimelineEvents,
    TimelineQuery as TimelineQuery,
    TokenGrant as TokenGrant,
    UnitsLent as UnitsLent,
)
from chivelead_protocol._internal.pulse_messages import (
    PlanPull as PlanPull,
    PlanText as PlanText,
    Pulse as Pulse,
    PulseCounts as PulseCounts,
)
