"""What the target on this VM says in its responses, on the platform."""

import functools
import logging
import math

from chivelead_config import HeaderNames
from chivelead_policy import Admission
from chivelead_protocol import Headers, TargetNotice

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.registration import (
    TargetIdentity,
    TargetRegistration,
)
from chivelead_node._internal.target_notices import (
    OwnTargetNotices,
    SignalRecorder,
    TargetSignals,
    describe_notice,
)

logger = logging.getLogger(__name__)

# Another target received the request; its response says nothing of this one.
_MISDIRECTED = 421
_NO_SIGNALS = TargetSignals()


class PlatformTargetNotices(OwnTargetNotices):
    """Keep what the target on this VM last said about the work that it takes.

    Responses that this node has seen go before what other nodes know.  A target
    that says that it leaves gets no more calls until its next start.

    Args:
        header_names: Names of the headers.
        registration: Identity and state of the target.
        admission: Admission control; keeps to the rate that the target takes.
        events: Event log.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        registration: TargetRegistration,
        admission: Admission,
        events: EventLog,
    ) -> None:
        """Create notices of a target that has said nothing."""
        self._rate_limit_header = header_names.target_rate_limit.lower()
        self._leaving_header = header_names.target_leaving.lower()
        self._registration = registration
        self._admission = admission
        self._events = events
        self._identity = registration.identity
        self._signals = _NO_SIGNALS
        # Whether this node has seen a response of the target.
        self._is_first_hand = False
        registration.listen(self._forget_former_target)

    def response_recorder(self) -> SignalRecorder:
        """Return a function that records the head of the next response."""
        return functools.partial(
            self._record_response, self._registration.identity
        )

    def record_probe(self, target_id: str, headers: Headers) -> None:
        """Record the successful response of a target to a health probe."""
        if self._registration.target_id == target_id:
            self._apply(self._parse_signals(headers), source='probe')

    def apply_peer_notice(self, notice: TargetNotice) -> None:
        """Apply what another node knows, if this one does not know better."""
        identity = TargetIdentity(notice.target_id, notice.started_ms)
        if not identity.matches(self._registration.identity):
            return
        rate_limit_per_s = (
            self._signals.rate_limit_per_s
            if self._is_first_hand
            else notice.rate_limit_per_s
        )
        # A notice without the start may be about an earlier one.
        is_same_start = identity.started_ms == self._identity.started_ms
        is_leaving = notice.is_leaving and (
            is_same_start or not self._identity.started_ms
        )
        self._apply(TargetSignals(rate_limit_per_s, is_leaving), source='peer')

    def current(self) -> TargetNotice | None:
        """Return the notice to add to replies; None if there is none."""
        if self._signals == _NO_SIGNALS:
            return None
        identity = self._registration.identity
        return TargetNotice(
            identity.target_id,
            identity.started_ms,
            self._signals.rate_limit_per_s,
            self._signals.is_leaving,
        )

    def _record_response(
        self, identity: TargetIdentity, status: int, headers: Headers
    ) -> None:
        is_current = identity.matches(self._registration.identity)
        if status != _MISDIRECTED and is_current:
            self._is_first_hand = True
            self._apply(self._parse_signals(headers), source='response')

    def _apply(self, signals: TargetSignals, *, source: str) -> None:
        # A target that is leaving never takes that back.
        is_leaving = signals.is_leaving or self._signals.is_leaving
        signals = TargetSignals(signals.rate_limit_per_s, is_leaving)
        if signals == self._signals:
            return
        before = self.current()
        self._signals = signals
        self._admission.update_rate_limit(signals.rate_limit_per_s)
        self._events.record_node_event(
            'target-notice',
            notice=describe_notice(self.current()),
            before=describe_notice(before),
            source=source,
        )
        if is_leaving:
            self._registration.mark_leaving(self._registration.target_id)

    def _parse_signals(self, headers: Headers) -> TargetSignals:
        rate_limit_per_s: float | None = None
        is_leaving = False
        for name, header_value in headers:
            lower_name = name.lower()
            if lower_name == self._rate_limit_header:
                rate_limit_per_s = self._parse_rate(header_value)
            elif lower_name == self._leaving_header:
                is_leaving = header_value.strip() == '1'
        return TargetSignals(rate_limit_per_s, is_leaving)

    def _parse_rate(self, text: str) -> float | None:
        """Return a rate; an invalid one changes nothing."""
        try:
            rate = float(text)
        except ValueError:
            rate = math.nan
        if math.isfinite(rate) and rate >= 0:
            return rate
        logger.warning('the target named an invalid rate: %.40r', text)
        return self._signals.rate_limit_per_s

    def _forget_former_target(self) -> None:
        identity = self._registration.identity
        if not identity.matches(self._identity):
            self._signals = _NO_SIGNALS
            self._admission.update_rate_limit(None)
            self._is_first_hand = False
        self._identity = identity
