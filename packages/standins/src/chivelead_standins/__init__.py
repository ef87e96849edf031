"""Simulated platform, targets and callers, for tests and the demo."""

from chivelead_standins._internal.fleet import Fleet as Fleet
from chivelead_standins._internal.layout import Layout as Layout
from chivelead_standins._internal.layout import load_layout as load_layout
from chivelead_standins._internal.load_generator import (
    LoadGenerator as LoadGenerator,
)
from chivelead_standins._internal.load_generator import (
    RequestStream as RequestStream,
)
from chivelead_standins._internal.records import CallRecord as CallRecord
from chivelead_standins._internal.records import (
    ExecutionRecord as ExecutionRecord,
)
from chivelead_standins._internal.records import History as History
from chivelead_standins._internal.store_server import StoreFaults as StoreFaults
from chivelead_standins._internal.store_server import StoreServer as StoreServer
from chivelead_standins._internal.target_server import (
    TargetServer as TargetServer,
)
