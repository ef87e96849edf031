"""Coordination of nodes, through the platform's store and with each other.

The classes can be embedded in other programs.  They reach the store and other
nodes only through the ``Store`` and ``Network`` interfaces.
"""

from chivelead_coordination._internal.count_tally import (
    CountTally as CountTally,
)
from chivelead_coordination._internal.document_distribution import (
    DocumentDistributor as DocumentDistributor,
)
from chivelead_coordination._internal.fleet_aggregate import (
    FleetAggregate as FleetAggregate,
)
from chivelead_coordination._internal.fleet_quota import (
    FleetQuota as FleetQuota,
)
from chivelead_coordination._internal.former_departures import (
    MAX_DEPARTURES as MAX_DEPARTURES,
)
from chivelead_coordination._internal.gossip import GossipTask as GossipTask
from chivelead_coordination._internal.gossip import (
    nearest_first as nearest_first,
)
from chivelead_coordination._internal.guard import (
    GuardClient as GuardClient,
)
from chivelead_coordination._internal.guard import KeyGuard as KeyGuard
from chivelead_coordination._internal.guard import (
    hash_idempotency_key as hash_idempotency_key,
)
from chivelead_coordination._internal.http_store import HttpStore as HttpStore
from chivelead_coordination._internal.ledger import (
    LOAN_LEASE_MS as LOAN_LEASE_MS,
)
from chivelead_coordination._internal.ledger import UnitLedger as UnitLedger
from chivelead_coordination._internal.limiters import (
    RateLimiter as RateLimiter,
)
from chivelead_coordination._internal.limiters import (
    find_limiter as find_limiter,
)
from chivelead_coordination._internal.limiters import (
    limiter_names as limiter_names,
)
from chivelead_coordination._internal.manifest import (
    EMPTY_MANIFEST as EMPTY_MANIFEST,
)
from chivelead_coordination._internal.manifest import (
    MANIFEST_KEY as MANIFEST_KEY,
)
from chivelead_coordination._internal.manifest import Edit as Edit
from chivelead_coordination._internal.manifest import Manifest as Manifest
from chivelead_coordination._internal.manifest import (
    document_text_key as document_text_key,
)
from chivelead_coordination._internal.manifest import (
    dump_manifest as dump_manifest,
)
from chivelead_coordination._internal.manifest import (
    parse_manifest as parse_manifest,
)
from chivelead_coordination._internal.membership import (
    Membership as Membership,
)
from chivelead_coordination._internal.membership import (
    distance_tier as distance_tier,
)
from chivelead_coordination._internal.network import Network as Network
from chivelead_coordination._internal.ownership import (
    SHARE_COUNT as SHARE_COUNT,
)
from chivelead_coordination._internal.ownership import (
    ShareOwnership as ShareOwnership,
)
from chivelead_coordination._internal.quota_usage import (
    FleetRate as FleetRate,
)
from chivelead_coordination._internal.rates import TOTAL_UNITS as TOTAL_UNITS
from chivelead_coordination._internal.rates import (
    RateCoordinator as RateCoordinator,
)
from chivelead_coordination._internal.relay_ranking import (
    RelayRanking as RelayRanking,
)
from chivelead_coordination._internal.relays import (
    RelayElection as RelayElection,
)
from chivelead_coordination._internal.rendezvous import (
    preferred_member as preferred_member,
)
from chivelead_coordination._internal.store import Change as Change
from chivelead_coordination._internal.store import Changes as Changes
from chivelead_coordination._internal.store import Listing as Listing
from chivelead_coordination._internal.store import Store as Store
from chivelead_coordination._internal.store import StoredValue as StoredValue
from chivelead_coordination._internal.store import (
    WatchableStore as WatchableStore,
)
from chivelead_coordination._internal.store import Write as Write
from chivelead_coordination._internal.store_connections import (
    StoreConnections as StoreConnections,
)
from chivelead_coordination._internal.store_era import (
    STORE_SOURCE as STORE_SOURCE,
)
from chivelead_coordination._internal.store_era import StoreEra as StoreEra
