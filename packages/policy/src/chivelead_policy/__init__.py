"""Admission control, load shedding, retry and routing policies."""

from chivelead_policy._internal.admission import Admission as Admission
from chivelead_policy._internal.admission import AdmissionLoad as AdmissionLoad
from chivelead_policy._internal.admission import (
    AdmissionRequest as AdmissionRequest,
)
from chivelead_policy._internal.admission import RefusalReason as RefusalReason
from chivelead_policy._internal.admission import RefusedError as RefusedError
from chivelead_policy._internal.call_graph import CallFanOut as CallFanOut
from chivelead_policy._internal.call_graph import CallGraph as CallGraph
from chivelead_policy._internal.call_graph import (
    CallGraphLearner as CallGraphLearner,
)
from chivelead_policy._internal.harmful_requests import (
    ENDS_UNTIL_HARMFUL as ENDS_UNTIL_HARMFUL,
)
from chivelead_policy._internal.harmful_requests import (
    MAX_ENDS as MAX_ENDS,
)
from chivelead_policy._internal.harmful_requests import (
    MAX_REQUESTS_PER_END as MAX_REQUESTS_PER_END,
)
from chivelead_policy._internal.harmful_requests import (
    HarmfulRequest as HarmfulRequest,
)
from chivelead_policy._internal.harmful_requests import (
    TargetEnd as TargetEnd,
)
from chivelead_policy._internal.harmful_requests import (
    TargetEndLedger as TargetEndLedger,
)
from chivelead_policy._internal.harmful_requests import (
    select_fingerprints as select_fingerprints,
)
from chivelead_policy._internal.limits import LIMITS as LIMITS
from chivelead_policy._internal.limits import Completion as Completion
from chivelead_policy._internal.outliers import (
    OutlierDetector as OutlierDetector,
)
from chivelead_policy._internal.overload import IngressShedder as IngressShedder
from chivelead_policy._internal.overload import ShedController as ShedController
from chivelead_policy._internal.queues import QUEUES as QUEUES
from chivelead_policy._internal.retries import RETRIES as RETRIES
from chivelead_policy._internal.retries import FailedAttempt as FailedAttempt
from chivelead_policy._internal.retries import (
    FleetBudgetRetries as FleetBudgetRetries,
)
from chivelead_policy._internal.retries import RetryBudget as RetryBudget
from chivelead_policy._internal.retries import RetryPolicy as RetryPolicy
from chivelead_policy._internal.routing import ROUTERS as ROUTERS
from chivelead_policy._internal.routing import Candidate as Candidate
from chivelead_policy._internal.routing import Router as Router
from chivelead_policy._internal.splits import WeightedSplit as WeightedSplit
