"""Messages, codec, clock and links between chivelead processes."""

from chivelead_protocol._internal import (
    target_end_messages as target_end_messages,
)
from chivelead_protocol._internal.clock import HybridClock as HybridClock
from chivelead_protocol._internal.clock import format_stamp as format_stamp
from chivelead_protocol._internal.clock import loop_ms as loop_ms
from chivelead_protocol._internal.clock import now_ms as now_ms
from chivelead_protocol._internal.clock import stamp_ms as stamp_ms
from chivelead_protocol._internal.codec import decode_frame as decode_frame
from chivelead_protocol._internal.codec import encode_frame as encode_frame
from chivelead_protocol._internal.delivery import (
    undelivered_bytes as undelivered_bytes,
)
from chivelead_protocol._internal.document_messages import (
    DocumentsOffer as DocumentsOffer,
)
from chivelead_protocol._internal.document_messages import (
    DocumentsPull as DocumentsPull,
)
from chivelead_protocol._internal.document_messages import (
    DocumentsUpdate as DocumentsUpdate,
)
from chivelead_protocol._internal.document_messages import (
    DocumentText as DocumentText,
)
from chivelead_protocol._internal.exceptions import (
    ChiveleadError as ChiveleadError,
)
from chivelead_protocol._internal.exceptions import (
    ConfigurationError as ConfigurationError,
)
from chivelead_protocol._internal.exceptions import (
    EncodingError as EncodingError,
)
from chivelead_protocol._internal.exceptions import (
    HistoryLostError as HistoryLostError,
)
from chivelead_protocol._internal.exceptions import (
    LinkError as LinkError,
)
from chivelead_protocol._internal.exceptions import (
    LinkLostError as LinkLostError,
)
from chivelead_protocol._internal.exceptions import (
    LinkNotOpenError as LinkNotOpenError,
)
from chivelead_protocol._internal.exceptions import (
    NoRoomError as NoRoomError,
)
from chivelead_protocol._internal.exceptions import (
    ProtocolError as ProtocolError,
)
from chivelead_protocol._internal.exceptions import (
    ReplyTimeoutError as ReplyTimeoutError,
)
from chivelead_protocol._internal.exceptions import (
    StoreConflictError as StoreConflictError,
)
from chivelead_protocol._internal.exceptions import (
    StoreError as StoreError,
)
from chivelead_protocol._internal.exceptions import (
    StoreNotFoundError as StoreNotFoundError,
)
from chivelead_protocol._internal.exceptions import (
    StoreTimeoutError as StoreTimeoutError,
)
from chivelead_protocol._internal.exceptions import (
    StoreUnavailableError as StoreUnavailableError,
)
from chivelead_protocol._internal.fleet_messages import (
    ChangePosition as ChangePosition,
)
from chivelead_protocol._internal.fleet_messages import (
    CountReport as CountReport,
)
from chivelead_protocol._internal.fleet_messages import (
    DomainDigest as DomainDigest,
)
from chivelead_protocol._internal.fleet_messages import (
    FanOutSum as FanOutSum,
)
from chivelead_protocol._internal.fleet_messages import (
    FleetDigest as FleetDigest,
)
from chivelead_protocol._internal.fleet_messages import (
    MemberNotice as MemberNotice,
)
from chivelead_protocol._internal.fleet_messages import (
    NodeReport as NodeReport,
)
from chivelead_protocol._internal.fleet_messages import (
    PlanPull as PlanPull,
)
from chivelead_protocol._internal.fleet_messages import (
    PlanText as PlanText,
)
from chivelead_protocol._internal.fleet_messages import (
    RequestCounts as RequestCounts,
)
from chivelead_protocol._internal.fleet_messages import (
    ServiceShedding as ServiceShedding,
)
from chivelead_protocol._internal.fleet_messages import (
    TargetLoad as TargetLoad,
)
from chivelead_protocol._internal.guard_messages import (
    GuardBegin as GuardBegin,
)
from chivelead_protocol._internal.guard_messages import (
    GuardDecision as GuardDecision,
)
from chivelead_protocol._internal.guard_messages import (
    GuardEntry as GuardEntry,
)
from chivelead_protocol._internal.guard_messages import (
    GuardFinish as GuardFinish,
)
from chivelead_protocol._internal.guard_messages import (
    GuardHandover as GuardHandover,
)
from chivelead_protocol._internal.large_frames import (
    LARGE_FRAME_BYTES as LARGE_FRAME_BYTES,
)
from chivelead_protocol._internal.link import PeerLink as PeerLink
from chivelead_protocol._internal.link_server import PeerServer as PeerServer
from chivelead_protocol._internal.membership_messages import (
    Gossip as Gossip,
)
from chivelead_protocol._internal.membership_messages import (
    Member as Member,
)
from chivelead_protocol._internal.membership_messages import (
    MemberSummary as MemberSummary,
)
from chivelead_protocol._internal.membership_messages import (
    MemberTable as MemberTable,
)
from chivelead_protocol._internal.membership_messages import (
    TargetDeparture as TargetDeparture,
)
from chivelead_protocol._internal.messages import (
    Acknowledged as Acknowledged,
)
from chivelead_protocol._internal.messages import (
    CallCancel as CallCancel,
)
from chivelead_protocol._internal.messages import (
    CallReply as CallReply,
)
from chivelead_protocol._internal.messages import (
    CallRequest as CallRequest,
)
from chivelead_protocol._internal.messages import (
    Failure as Failure,
)
from chivelead_protocol._internal.messages import (
    Headers as Headers,
)
from chivelead_protocol._internal.messages import (
    Outcome as Outcome,
)
from chivelead_protocol._internal.messages import (
    Ping as Ping,
)
from chivelead_protocol._internal.messages import (
    Pong as Pong,
)
from chivelead_protocol._internal.messages import (
    TargetNotice as TargetNotice,
)
from chivelead_protocol._internal.messages import (
    TargetState as TargetState,
)
from chivelead_protocol._internal.operator_messages import (
    DrainRequest as DrainRequest,
)
from chivelead_protocol._internal.operator_messages import (
    StatusQuery as StatusQuery,
)
from chivelead_protocol._internal.operator_messages import (
    StatusReport as StatusReport,
)
from chivelead_protocol._internal.operator_messages import (
    TimelineEvent as TimelineEvent,
)
from chivelead_protocol._internal.operator_messages import (
    TimelineEvents as TimelineEvents,
)
from chivelead_protocol._internal.operator_messages import (
    TimelineQuery as TimelineQuery,
)
from chivelead_protocol._internal.rate_messages import (
    BorrowUnits as BorrowUnits,
)
from chivelead_protocol._internal.rate_messages import (
    Loan as Loan,
)
from chivelead_protocol._internal.rate_messages import (
    ReturnUnits as ReturnUnits,
)
from chivelead_protocol._internal.rate_messages import (
    SharesReleased as SharesReleased,
)
from chivelead_protocol._internal.rate_messages import (
    TakeTokens as TakeTokens,
)
from chivelead_protocol._internal.rate_messages import (
    TokenGrant as TokenGrant,
)
from chivelead_protocol._internal.rate_messages import (
    UnitRequest as UnitRequest,
)
from chivelead_protocol._internal.rate_messages import (
    UnitsLent as UnitsLent,
)
from chivelead_protocol._internal.supervision import (
    start_once as start_once,
)
from chivelead_protocol._internal.supervision import (
    start_supervised as start_supervised,
)
