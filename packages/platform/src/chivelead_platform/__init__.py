"""Adapter to the platform: its settings, headers, store and messages.

This is the only package that depends on the names and formats of the platform.
"""

from chivelead_platform._internal.announcements import (
    classify_request as classify_request,
)
from chivelead_platform._internal.announcements import (
    parse_announcement as parse_announcement,
)
from chivelead_platform._internal.edits import PLAN_KEY as PLAN_KEY
from chivelead_platform._internal.edits import parse_plan as parse_plan
from chivelead_platform._internal.headers import HEADERS as HEADERS
from chivelead_platform._internal.process_settings import Address as Address
from chivelead_platform._internal.process_settings import (
    FleetBounds as FleetBounds,
)
from chivelead_platform._internal.process_settings import (
    ProcessSettings as ProcessSettings,
)
from chivelead_platform._internal.process_settings import (
    StoreSettings as StoreSettings,
)
from chivelead_platform._internal.process_settings import (
    load_process_settings as load_process_settings,
)
from chivelead_platform._internal.process_settings import (
    parse_process_settings as parse_process_settings,
)
from chivelead_platform._internal.store import PlatformStore as PlatformStore
