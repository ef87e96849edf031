"""Health probes that find a target or detect its recovery."""

import asyncio
from collections.abc import Mapping

import aiohttp
from chivelead_config import HeaderNames, TargetAnnouncement
from chivelead_protocol import TargetState
from chivelead_protocol.bounds import (
    ConnectionMemory,
    bounded_connector,
    describe_error,
    edges,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.own_target_notices import (
    PlatformTargetNotices,
)
from chivelead_node._internal.proxy.plan_feed import PlanFeed
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.proxy.target_state import TargetStatePublisher

_PROBE_TIMEOUT_S = 0.5
# Probes are not sent more often because each occupies a slot of the target, and
# an announcement arrives within 1.5 s anyway.
_PROBE_PERIOD_S = 0.3
_OK = 200


class TargetProber:
    """Send health probes to the target.

    Without probes, a node that starts while its target is already running would
    send it no calls until the next announcement.  A target that answers a probe
    counts as ready; one that is shutting down reports that itself.

    Args:
        header_names: Names of the headers.
        address: Configured host and port of the target.
        own_service: Service configured for this VM.
        plan_feed: Traffic plan, which contains the health path.
        registration: Tells whether an announcement has arrived.
        publisher: Receives an announcement made from a probe response.
        notices: Receives what the target says in the response.
        events: Event log.
        memory: Counts what the connections hold.
    """

    def __init__(  # noqa: WPS211
        self,
        header_names: HeaderNames,
        address: tuple[str, int],
        own_service: str,
        plan_feed: PlanFeed,
        registration: TargetRegistration,
        publisher: TargetStatePublisher,
        notices: PlatformTargetNotices,
        events: EventLog,
        memory: ConnectionMemory,
    ) -> None:
        """Create a prober; no probe is sent yet."""
        self._header_names = header_names
        self._address = address
        self._own_service = own_service
        self._plan_feed = plan_feed
        self._registration = registration
        self._publisher = publisher
        self._notices = notices
        self._events = events
        self._memory = memory

    async def run(self) -> None:
        """Send probes until a target is known."""
        async with self._open_session() as session:
            while not self._registration.target_id:
                service = self._plan_feed.current.services.get(
                    self._own_service
                )
                if service is not None:
                    await self._discover_target(session, service.health_path)
                await asyncio.sleep(_PROBE_PERIOD_S)

    async def wait_until_answered(self, target_id: str) -> bool:
        """Send probes until the target answers or another target is announced.

        Returns:
            Whether the target answered a probe.
        """
        async with self._open_session() as session:
            while self._registration.target_id == target_id:
                await asyncio.sleep(_PROBE_PERIOD_S)
                service = self._plan_feed.current.services.get(
                    self._own_service
                )
                path = service.health_path if service else '/'
                headers = await self._request_health(session, path)
                if (
                    headers
                    and headers.get(self._header_names.target_id) == target_id
                ):
                    return True
        return False

    async def _discover_target(
        self, session: aiohttp.ClientSession, path: str
    ) -> None:
        headers = await self._request_health(session, path)
        if headers is None:
            return
        target_id = headers.get(self._header_names.target_id, '')
        load_header = headers.get(self._header_names.target_load, '')
        slots = load_header.rpartition(',')[2].strip()
        if not target_id or not slots.isdigit():
            return
        if not self._registration.target_id:
            await self._publisher.apply_announcement(
                self._build_announcement(target_id, int(slots))
            )
        self._notices.record_probe(target_id, tuple(headers.items()))

    async def _request_health(
        self,
        session: aiohttp.ClientSession,
        path: str,
    ) -> Mapping[str, str] | None:
        """Return the headers of a successful response, or None."""
        host, port = self._address
        try:
            async with session.get(f'http://{host}:{port}{path}') as response:
                if response.status == _OK:
                    return response.headers
                why = f'status {response.status}'
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            why = describe_error(error)
        self._events.record_node_event('probe-failed', why=why)
        return None

    def _build_announcement(
        self, target_id: str, slots: int
    ) -> TargetAnnouncement:
        host, port = self._address
        return TargetAnnouncement(
            target_id=target_id,
            # Every announcement of the target supersedes this one.
            started_ms=0,
            sequence=0,
            service=self._own_service,
            host=host,
            port=port,
            slots=max(1, slots),
            state=TargetState.ready,
            warmup_left_ms=0,
        )

    def _open_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=bounded_connector(
                edges.HEALTH, self._memory, idle_timeout_s=_PROBE_TIMEOUT_S
            ),
            timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S),
        )
