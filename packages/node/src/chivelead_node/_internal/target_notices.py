"""What targets say in their responses about the work that they take."""

import dataclasses
from collections.abc import Callable

from chivelead_protocol import CallReply, Headers, TargetNotice

from chivelead_node._internal.events import EventLog

SignalRecorder = Callable[[int, Headers], None]


@dataclasses.dataclass(frozen=True)
class TargetSignals:
    """Statements of a target about itself in one response.

    Attributes:
        rate_limit_per_s: Requests a second that it takes from all nodes
            together; None if it names no limit.
        is_leaving: Whether it is about to shut down.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False


class OwnTargetNotices:
    """Notices of the target on this VM.

    The default implementation is for targets that make no such statements.
    """

    def response_recorder(self) -> SignalRecorder:
        """Return a function that records the head of the next response.

        The function takes the status and the headers.  It has to be created
        before the request is sent, because the target may be replaced before
        the response arrives.
        """
        return _ignore_response

    def apply_peer_notice(self, notice: TargetNotice) -> None:
        """Apply what another node knows of the target on this VM."""

    def current(self) -> TargetNotice | None:  # noqa: WPS324
        """Return the notice to add to replies; None if there is none."""
        return None  # noqa: WPS324


class PeerTargetNotices:
    """Notices of the targets on all VMs, as received with replies.

    A copy is kept at each node that has forwarded a response of the target.
    Calls carry it back, so that a node beside a target learns after a restart
    what the target had said before.

    Args:
        events: Event log.
    """

    def __init__(self, events: EventLog) -> None:
        """Create an empty table."""
        self._notices: dict[str, TargetNotice] = {}
        self._events = events

    def find(self, vm: str) -> TargetNotice | None:
        """Return the notice of the target on a VM, or None."""
        return self._notices.get(vm)

    def record_reply(self, vm: str, reply: CallReply) -> None:
        """Update the notice of a target from a reply of its node.

        A refusal without a notice changes nothing: its node may not know the
        target yet.
        """
        notice = reply.notice
        previous = self._notices.get(vm)
        if notice == previous or (notice is None and reply.reason):
            return
        if notice is None:
            self._notices.pop(vm)
        else:
            self._notices[vm] = notice
        self._events.record_node_event(
            'peer-notice',
            peer=vm,
            notice=describe_notice(notice),
            before=describe_notice(previous),
        )


def describe_notice(notice: TargetNotice | None) -> str:
    """Return a notice as text for the log."""
    if notice is None:
        return 'none'
    rate = notice.rate_limit_per_s
    return (
        f'target {notice.target_id}'
        f' rate {"any" if rate is None else format(rate, "g")}'
        f'{" leaving" if notice.is_leaving else ""}'
    )


def _ignore_response(_status: int, _headers: Headers) -> None:
    """Record nothing."""
