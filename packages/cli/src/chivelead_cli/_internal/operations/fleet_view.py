"""Requests to nodes for their status and their recent events."""

import asyncio
import collections
import dataclasses
import itertools
from collections.abc import Iterable
from typing import Any

from chivelead_coordination import Store
from chivelead_protocol import (
    ChiveleadError,
    ConfigurationError,
    HybridClock,
    Member,
    PeerLink,
    StatusQuery,
    StatusReport,
    TimelineEvent,
    TimelineQuery,
)

_RELAY_PREFIX = 'relay/'
_REQUEST_TIMEOUT_MS = 3000.0
_SENDER_NAME = 'operator'
# Counts of a process, and of processes that have ended, which it keeps.
_END_FIELDS = ('unanswered', 'unanswered_before')


@dataclasses.dataclass(frozen=True)
class FleetView:
    """State of the fleet, as reported by its nodes.

    Attributes:
        reports: One report from each node that responded.
        unreachable: VMs of the live members that did not respond.
    """

    reports: tuple[StatusReport, ...]
    unreachable: tuple[str, ...]

    def newest_members(self) -> dict[str, Member]:
        """Return the newest entry of each VM that a report lists."""
        return _newest_members(self.reports)

    def count_ends(self) -> dict[str, int]:
        """Return the requests without the answer of a target, by cause."""
        sums: collections.Counter[str] = collections.Counter()
        for report in self.reports:
            fields = dict(report.fields)
            for name in _END_FIELDS:
                sums.update(_parse_counts(fields.get(name, '')))
        return dict(sorted(sums.items()))

    def versions(self) -> dict[str, list[int]]:
        """Return the document version of each node, by failure domain."""
        domains = {
            member.vm: member.failure_domain
            for report in self.reports
            for member in report.members
        }
        versions_by_domain: dict[str, list[int]] = {}
        for report in self.reports:
            version = int(dict(report.fields)['config_version'])
            versions_by_domain.setdefault(domains[report.vm], []).append(
                version
            )
        return versions_by_domain


async def read_relay_addresses(store: Store) -> list[tuple[str, int]]:
    """Return the addresses of the relays, the nodes that watch the store."""
    entries = await store.read_prefix(_RELAY_PREFIX)
    return parse_addresses(entry.text for entry in entries)


def parse_addresses(texts: Iterable[str]) -> list[tuple[str, int]]:
    """Parse addresses of the form host:port.

    Raises:
        ConfigurationError: An address has no valid port.
    """
    addresses = []
    for text in texts:
        host, colon, port = text.rpartition(':')
        if not colon or not port.isdigit():
            raise ConfigurationError(
                f'parse the address {text}',
                'the port is missing or not a number',
                'expected host:port with an IP address',
            )
        addresses.append((host, int(port)))
    return addresses


async def request_node(
    address: tuple[str, int],
    secret: str,
    message: Any,
) -> Any:
    """Send a request message to a node and return the reply.

    Raises:
        ChiveleadError: The node is unreachable or rejects the request.
    """
    host, port = address
    link = PeerLink(_SENDER_NAME, host, port, secret.encode(), HybridClock())
    await link.start()
    try:
        return await link.request(message, _REQUEST_TIMEOUT_MS)
    finally:
        await link.close()


async def view_fleet(
    addresses: Iterable[tuple[str, int]],
    secret: str,
) -> FleetView:
    """Return the status of all nodes known to the nodes at ``addresses``."""
    first_reports = []
    for address in addresses:
        try:
            report = await request_node(address, secret, StatusQuery())
        except ChiveleadError:
            continue
        first_reports.append(report)
    asked = [
        member
        for member in _newest_members(first_reports).values()
        if member.alive
    ]
    replies = await request_nodes(asked, secret, StatusQuery())
    reports = tuple(reply for reply in replies if reply is not None)
    # A node that has just left is known as such to a part of the fleet.
    known = _newest_members((*first_reports, *reports))
    responding = {report.vm for report in reports}
    unreachable = sorted(
        member.vm
        for member in asked
        if member.vm not in responding and known[member.vm].alive
    )
    return FleetView(reports, tuple(unreachable))


async def request_nodes(
    members: Iterable[Member],
    secret: str,
    message: Any,
) -> list[Any]:
    """Send a message to several nodes concurrently.

    Returns:
        The replies in the order of ``members``; None where there was none.
    """
    replies = await asyncio.gather(
        *(
            request_node((member.host, member.peer_port), secret, message)
            for member in members
        ),
        return_exceptions=True,
    )
    return [
        None if isinstance(reply, BaseException) else reply for reply in replies
    ]


async def gather_timeline(
    addresses: Iterable[tuple[str, int]],
    secret: str,
    request_id: str,
    limit: int,
) -> list[TimelineEvent]:
    """Return the recent events of all nodes in causal order.

    Args:
        addresses: Nodes to ask for the members of the fleet.
        secret: Secret of the fleet.
        request_id: Return only events of this request; all if empty.
        limit: Maximum number of events from each node.
    """
    view = await view_fleet(addresses, secret)
    members = view.newest_members().values()
    replies = await request_nodes(
        (member for member in members if member.alive),
        secret,
        TimelineQuery(request_id, limit),
    )
    events = itertools.chain.from_iterable(
        reply.events for reply in replies if reply is not None
    )
    return sorted(events, key=lambda event: (event.stamp, event.vm))


def _newest_members(reports: Iterable[StatusReport]) -> dict[str, Member]:
    members: dict[str, Member] = {}
    for report in reports:
        for member in report.members:
            known = members.get(member.vm)
            if known is None or member.rank > known.rank:
                members[member.vm] = member
    return members


def _parse_counts(text: str) -> dict[str, int]:
    pairs = (pair.rpartition(':') for pair in text.split(',') if pair)
    return {name: int(count) for name, _, count in pairs}
