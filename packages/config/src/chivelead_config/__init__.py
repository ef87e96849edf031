"""Validated node settings, operator documents and traffic plans."""

from chivelead_config._internal.adapter_types import HeaderNames as HeaderNames
from chivelead_config._internal.adapter_types import (
    NodeRequestKind as NodeRequestKind,
)
from chivelead_config._internal.adapter_types import (
    TargetAnnouncement as TargetAnnouncement,
)
from chivelead_config._internal.document_set import (
    EMPTY_DOCUMENT_SET as EMPTY_DOCUMENT_SET,
)
from chivelead_config._internal.document_set import DocumentSet as DocumentSet
from chivelead_config._internal.document_set import RateBucket as RateBucket
from chivelead_config._internal.document_set import (
    build_document_set as build_document_set,
)
from chivelead_config._internal.document_set import (
    check_documents as check_documents,
)
from chivelead_config._internal.documents import Fleet as Fleet
from chivelead_config._internal.documents import Organisation as Organisation
from chivelead_config._internal.documents import Route as Route
from chivelead_config._internal.documents import Service as Service
from chivelead_config._internal.documents import key_digest as key_digest
from chivelead_config._internal.fields import Problem as Problem
from chivelead_config._internal.settings import Settings as Settings
from chivelead_config._internal.settings import load_settings as load_settings
from chivelead_config._internal.settings import (
    parse_settings as parse_settings,
)
from chivelead_config._internal.traffic_plan import EMPTY_PLAN as EMPTY_PLAN
from chivelead_config._internal.traffic_plan import (
    MAX_IMPORTANCE as MAX_IMPORTANCE,
)
from chivelead_config._internal.traffic_plan import CallerLimits as CallerLimits
from chivelead_config._internal.traffic_plan import (
    PlanOrganisation as PlanOrganisation,
)
from chivelead_config._internal.traffic_plan import PlanRoute as PlanRoute
from chivelead_config._internal.traffic_plan import PlanService as PlanService
from chivelead_config._internal.traffic_plan import TrafficPlan as TrafficPlan
from chivelead_config._internal.traffic_plan import (
    WeightedService as WeightedService,
)
