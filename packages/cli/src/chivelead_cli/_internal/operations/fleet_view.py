"""Questions to the nodes: status, confirmation of edits, time line."""

import asyncio
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
_TIMEOUT_MS = 3000.0
_SENDER_NAME = 'operator'


@dataclasses.dataclass(frozen=True)
class FleetView:
    """What the nodes that answered know.

    Attributes:
        reports: One report for each node that answered.
        silent: Names of live members that did not answer.
    """

    reports: tuple[StatusReport, ...]
    unreachable: tuple[str, ...]

    def versions(self) -> dict[str, list[int]]:
        """Return the versions in force, by failure domain."""
        domains = {
            member.vm: member.failure_domain
            for report in self.reports
            for member in report.members
        }
        versions_by_domain: dict[str, list[int]] = {}
        for report in self.reports:
            version = int(dict(report.facts)['config_version'])
            versions_by_domain.setdefault(domains[report.vm], []).append(
                version
            )
        return versions_by_domain


async def read_relay_addresses(store: Store) -> list[tuple[str, int]]:
    """Return the addresses of the relays, as the store has them."""
    entries = await store.read_prefix(_RELAY_PREFIX)
    return parse_addresses(entry.text for entry in entries)


def parse_addresses(texts: Iterable[str]) -> list[tuple[str, int]]:
    """Return host and port of each text of the form host:port.

    Raises:
        ConfigurationError: A text has another form.
    """
    addresses = []
    for text in texts:
        host, colon, port = text.rpartition(':')
        if not colon or not port.isdigit():
            raise ConfigurationError(
                f'read the address {text}',
                'it has no port',
                'expected host:port with an IP number',
            )
        addresses.append((host, int(port)))
    return addresses


async def request_node(
    address: tuple[str, int],
    secret: str,
    message: Any,
) -> Any:
    """Ask one node and return its answer.

    Raises:
        ChiveleadError: It cannot be reached or refuses.
    """
    host, port = address
    link = PeerLink(_SENDER_NAME, host, port, secret.encode(), HybridClock())
    await link.start()
    try:
        return await link.request(message, _TIMEOUT_MS)
    finally:
        await link.close()


async def view_fleet(
    addresses: Iterable[tuple[str, int]],
    secret: str,
) -> FleetView:
    """Ask every node that the first ones know for its status."""
    members: dict[str, Member] = {}
    for address in addresses:
        try:
            report = await request_node(address, secret, StatusQuery())
        except ChiveleadError:
            continue
        members.update((member.vm, member) for member in report.members)
    alive = [member for member in members.values() if member.alive]
    answers = await request_nodes(alive, secret, StatusQuery())
    reports = tuple(answer for answer in answers if answer is not None)
    responding = {report.vm for report in reports}
    unreachable = sorted({member.vm for member in alive} - responding)
    return FleetView(reports, tuple(unreachable))


async def request_nodes(
    members: Iterable[Member],
    secret: str,
    message: Any,
) -> list[Any]:
    """Ask several nodes at once; None stands for no answer."""
    answers = await asyncio.gather(
        *(
            request_node((member.host, member.peer_port), secret, message)
            for member in members
        ),
        return_exceptions=True,
    )
    return [
        None if isinstance(answer, BaseException) else answer
        for answer in answers
    ]


async def gather_timeline(
    addresses: Iterable[tuple[str, int]],
    secret: str,
    request_id: str,
    limit: int,
) -> list[TimelineEvent]:
    """Return the recent events of all nodes in the order of their stamps."""
    view = await view_fleet(addresses, secret)
    members = {
        member.vm: member
        for report in view.reports
        for member in report.members
        if member.alive
    }
    answers = await request_nodes(
        members.values(),
        secret,
        TimelineQuery(request_id, limit),
    )
    events = itertools.chain.from_iterable(
        answer.events for answer in answers if answer is not None
    )
    return sorted(events, key=lambda event: (event.stamp, event.vm))
