"""Exchange of ends of targets between the nodes beside one service's targets.

Only these nodes need to know which requests are harmful, since each request to
the service passes through one of them.
"""

import asyncio
import functools
import logging
import math
import random
import re
from collections.abc import Iterable
from typing import Any

from chivelead_coordination import Membership, preferred_member
from chivelead_policy import MAX_REQUESTS_PER_END, TargetEnd, TargetEndLedger
from chivelead_protocol import (
    ChiveleadError,
    loop_ms,
    start_once,
    start_supervised,
    target_end_messages,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.metrics import CallMetrics

logger = logging.getLogger(__name__)

# Nodes that are told of an end at once; the others learn of it by exchanges.
_MAX_TOLD = 64
_EXCHANGE_PERIOD_S = 1.0
# Each period is extended by a random delay of up to this fraction.
_MAX_JITTER = 0.2
_NOTICE_TIMEOUT_MS = 1000.0
# Of each notice; the latest are sent.
_MAX_ENDS = 32
_MAX_ANSWERS = 64
# Exchanges repeat all requests of an end for this time, and then only those
# with several ends.
_RECENT_MS = 5000.0
_MIN_REPEATED_ENDS = 2
_MAX_ID_LENGTH = 200
_FINGERPRINT = re.compile('[0-9a-f]{16}')


class TargetEndExchange:
    """Tell other nodes of ends, and learn of theirs.

    Args:
        ledger: Ends that this node knows.
        membership: Nodes of the fleet.
        links: Links for notices alone, owned by the exchange: a node of an
            earlier build closes a link on which it receives one.
        events: Event log.
        metrics: Counters.
    """

    def __init__(
        self,
        ledger: TargetEndLedger,
        membership: Membership,
        links: LinkPool,
        events: EventLog,
        metrics: CallMetrics,
    ) -> None:
        """Create an exchange; nothing is sent yet."""
        self._ledger = ledger
        self._membership = membership
        self._links = links
        self._events = events
        self._metrics = metrics
        self._known_harmful: frozenset[str] = frozenset()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Start exchanging ends periodically."""
        await self._links.start()
        self._tasks.add(
            start_supervised(
                'target-ends',
                self._exchange_forever,
                self._events.record_task_failure,
            )
        )

    async def close(self) -> None:
        """Stop exchanging ends."""
        for task in tuple(self._tasks):
            task.cancel()
        await self._links.close()

    def make_end_id(self, target_id: str, started_ms: int) -> str:
        """Return the ID of the end of a target on this VM."""
        return f'{self._membership.own.vm}/{target_id}/{started_ms}'

    def is_trial_vm(self, service: str, fingerprint: str) -> bool:
        """Return whether a suspected request may run on this VM."""
        tiers = self._membership.ready_by_distance(service)
        vms = [member.vm for tier in tiers for member in tier]
        return preferred_member(fingerprint, vms) == self._membership.own.vm

    def add_own_end(self, end: TargetEnd) -> bool:
        """Add the end of the target on this VM, and tell other nodes.

        Returns:
            Whether the end is new.
        """
        if not self._ledger.add_end(end, loop_ms()):
            return False
        self._record_changes()
        notice = target_end_messages.TargetEndNotice(
            (_report_end(end, end.fingerprints),), ()
        )
        peers = self._peers()
        if len(peers) > _MAX_TOLD:
            peers = random.sample(peers, _MAX_TOLD)
        task = start_once(
            'target-end-notice',
            functools.partial(self._send_to_all, peers, notice),
            self._events.record_task_failure,
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def describe(self) -> dict[str, list[str]]:
        """Return the ends under each harmful request, by fingerprint."""
        return {
            harmful.fingerprint: [end.end_id for end in harmful.ends]
            for harmful in self._ledger.harmful
        }

    def clear(self, fingerprint: str) -> bool:
        """Clear a request of all ends so far, by hand.

        Returns:
            Whether the request was suspected.
        """
        if not self._ledger.is_suspected(fingerprint):
            return False
        self._ledger.add_answer(fingerprint, loop_ms())
        self._record_changes()
        return True

    def handle_notice(
        self, vm: str, notice: target_end_messages.TargetEndNotice
    ) -> None:
        """Add what another node knows; invalid entries are dropped."""
        dropped = sum(map(self._add_end, notice.ends))
        dropped += sum(map(self._add_answer, notice.answers))
        if dropped:
            self._events.record_node_event(
                'target-ends-invalid', peer=vm, dropped=dropped
            )
        self._record_changes()

    def _add_end(self, report: target_end_messages.TargetEndReport) -> int:
        """Add an end; return how many of its parts are invalid."""
        if not _is_valid_end(report):
            return 1
        valid = [
            fingerprint
            for fingerprint in report.fingerprints[:MAX_REQUESTS_PER_END]
            if _FINGERPRINT.fullmatch(fingerprint)
        ]
        time_ms = loop_ms()
        self._ledger.add_end(
            TargetEnd(
                report.end_id,
                report.version,
                time_ms - report.age_ms,
                frozenset(valid),
            ),
            time_ms,
        )
        return len(report.fingerprints) - len(valid)

    def _add_answer(self, report: target_end_messages.AnswerReport) -> int:
        """Add an answer; return 1 if it is invalid, else 0."""
        is_valid = _FINGERPRINT.fullmatch(report.fingerprint) is not None
        if not is_valid or not _is_valid_age(report.age_ms):
            return 1
        self._ledger.add_answer(report.fingerprint, loop_ms() - report.age_ms)
        return 0

    async def _exchange_forever(self) -> None:
        while True:
            jitter_s = _MAX_JITTER * random.random()  # noqa: S311
            await asyncio.sleep(_EXCHANGE_PERIOD_S * (1 + jitter_s))
            self._ledger.expire(loop_ms())
            self._record_changes()
            peers = self._peers()
            if peers and not self._ledger.is_empty:
                vm = random.choice(peers)  # noqa: S311
                await self._send(vm, self._make_notice())

    async def _send_to_all(
        self, vms: Iterable[str], notice: target_end_messages.TargetEndNotice
    ) -> None:
        await asyncio.gather(*(self._send(vm, notice) for vm in vms))

    async def _send(
        self, vm: str, notice: target_end_messages.TargetEndNotice
    ) -> None:
        try:
            await self._links.request(vm, notice, _NOTICE_TIMEOUT_MS)
        except ChiveleadError as error:
            logger.debug('telling %s of target ends failed: %s', vm, error)

    def _peers(self) -> list[str]:
        """Return the other VMs whose targets belong to the same service."""
        own = self._membership.own
        if not own.service:
            return []
        return [
            member.vm
            for member in self._membership.service_members(own.service)
            if member.vm != own.vm
        ]

    def _make_notice(self) -> target_end_messages.TargetEndNotice:
        time_ms = loop_ms()
        reports = []
        for end in self._ledger.ends[-_MAX_ENDS:]:
            is_recent = end.ended_ms > time_ms - _RECENT_MS
            told = [
                fingerprint
                for fingerprint in end.fingerprints
                if is_recent
                or self._ledger.count_ends(fingerprint) >= _MIN_REPEATED_ENDS
            ]
            if told:
                reports.append(_report_end(end, told))
        return target_end_messages.TargetEndNotice(
            tuple(reports),
            tuple(
                target_end_messages.AnswerReport(
                    fingerprint, time_ms - answered_ms
                )
                for fingerprint, answered_ms in self._ledger.answers[
                    -_MAX_ANSWERS:
                ]
            ),
        )

    def _record_changes(self) -> None:
        """Log the requests that are harmful from now on, or no longer."""
        harmful = {
            request.fingerprint: request for request in self._ledger.harmful
        }
        for fingerprint in harmful.keys() - self._known_harmful:
            ends = harmful[fingerprint].ends
            self._metrics.count('harmful.found')
            self._events.record_node_event(
                'harmful-request',
                fingerprint=fingerprint,
                ends=','.join(end.end_id for end in ends),
            )
        for fingerprint in self._known_harmful - harmful.keys():
            self._metrics.count('harmful.cleared')
            self._events.record_node_event(
                'harmful-request-cleared', fingerprint=fingerprint
            )
        self._known_harmful = frozenset(harmful)


def _report_end(
    end: TargetEnd, fingerprints: Iterable[str]
) -> target_end_messages.TargetEndReport:
    return target_end_messages.TargetEndReport(
        end.end_id,
        end.version,
        max(0, loop_ms() - end.ended_ms),
        tuple(fingerprints),
    )


def _is_valid_end(report: target_end_messages.TargetEndReport) -> bool:
    return (
        0 < len(report.end_id) <= _MAX_ID_LENGTH
        and len(report.version) <= _MAX_ID_LENGTH
        and _is_valid_age(report.age_ms)
    )


def _is_valid_age(age_ms: float) -> bool:
    return math.isfinite(age_ms) and age_ms >= 0
