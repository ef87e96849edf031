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
    StoreNotFoundError as StoreNotFoundError,
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
    CallCancel as CallCancel,
    CallReply as CallReply,
    CallRequest as CallRequest,
    Failure as Failure,
    Headers as Headers,
    Hello as Hello,
    Outcome as Outcome,
    Ping as Ping,
    Pong as Pong,
    TargetState as TargetState,
)
from chivelead_protocol._internal.membership_messages import (
    Gossip as Gossip,
    Member as Member,
    MemberSummary as MemberSummary,
    MemberTable as MemberTable,
)
from chivelead_protocol._internal.document_messages import (
    DocumentText as DocumentText,
    DocumentsOffer as DocumentsOffer,
    DocumentsPull as DocumentsPull,
    DocumentsUpdate as DocumentsUpdate,
)
from chivelead_protocol._internal.rate_messages import (
    BorrowUnits as BorrowUnits,
    Loan as Loan,
    UnitRequest as UnitRequest,
    ReturnUnits as ReturnUnits,
    SharesReleased as SharesReleased,
    TakeTokens as TakeTokens,
    TokenGrant as TokenGrant,
    UnitsLent as UnitsLent,
)
from chivelead_protocol._internal.guard_messages import (
    GuardBegin as GuardBegin,
    GuardEntry as GuardEntry,
    GuardFinish as GuardFinish,
    GuardHandover as GuardHandover,
    GuardDecision as GuardDecision,
)
from chivelead_protocol._internal.operator_messages import (
    DrainRequest as DrainRequest,
    StatusQuery as StatusQuery,
    StatusReport as StatusReport,
    TimelineEvent as TimelineEvent,
    TimelineEvents as TimelineEvents,
    TimelineQuery as TimelineQuery,
)
from chivelead_protocol._internal.heartbeat_messages import (
    PlanPull as PlanPull,
    PlanText as PlanText,
    Heartbeat as Heartbeat,
    RequestCounts as RequestCounts,
)
