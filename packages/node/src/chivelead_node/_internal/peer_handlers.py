"""Handlers for messages from other nodes, by message type."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from chivelead_protocol import (
    Acknowledged,
    BorrowUnits,
    CallCancel,
    CallRequest,
    DocumentsOffer,
    DocumentsPull,
    DrainRequest,
    Gossip,
    GuardBegin,
    GuardFinish,
    GuardHandover,
    MemberSummary,
    Ping,
    Pong,
    ProtocolError,
    ReturnUnits,
    SharesReleased,
    StatusQuery,
    StatusReport,
    TakeTokens,
    TimelineEvents,
    TimelineQuery,
)
from chivelead_protocol.request_ends import EndCountsHandover

from chivelead_node._internal.components import Components

_PeerHandler = Callable[[Components, str, Any], Awaitable[Any]]
_handlers: dict[type, _PeerHandler] = {}


def _handles(message_type: type) -> Callable[[_PeerHandler], _PeerHandler]:
    def register(handle_message: _PeerHandler) -> _PeerHandler:
        _handlers[message_type] = handle_message
        return handle_message

    return register


async def handle_peer_message(
    components: Components, vm: str, body: Any
) -> Any:
    """Handle a message from a peer and return the reply, or None.

    Raises:
        ProtocolError: Nodes do not handle this type of message.
    """
    handle_message = _handlers.get(type(body))
    if handle_message is None:
        raise ProtocolError(
            f'reply to {vm}',
            f'{type(body).__name__} is not a message that a node handles',
        )
    return await handle_message(components, vm, body)


@_handles(CallRequest)
async def _handle_call(
    components: Components, _: str, body: CallRequest
) -> Any:
    return await components.inbound.handle_call(body)


@_handles(CallCancel)
async def _handle_cancel(
    components: Components, _: str, body: CallCancel
) -> None:
    components.inbound.cancel(body.attempt_id)


@_handles(Ping)
async def _handle_ping(components: Components, _: str, body: Ping) -> Any:
    return Pong()


@_handles(Gossip)
async def _handle_gossip(components: Components, vm: str, body: Gossip) -> Any:
    return components.gossip.handle_gossip(vm, body)


@_handles(MemberSummary)
async def _handle_summary(
    components: Components, _: str, body: MemberSummary
) -> Any:
    return components.gossip.handle_summary(body)


@_handles(DocumentsPull)
async def _handle_documents_pull(
    components: Components, _: str, body: DocumentsPull
) -> Any:
    return components.distributor.handle_pull(body)


@_handles(DocumentsOffer)
async def _handle_documents_offer(
    components: Components, vm: str, body: DocumentsOffer
) -> Any:
    return await components.distributor.handle_offer(vm, body)


@_handles(TakeTokens)
async def _handle_take_tokens(
    components: Components, vm: str, body: TakeTokens
) -> Any:
    return await components.rates.handle_take_tokens(vm, body)


@_handles(BorrowUnits)
async def _handle_borrow_units(
    components: Components, vm: str, body: BorrowUnits
) -> Any:
    return await components.rates.handle_borrow_units(vm, body)


@_handles(ReturnUnits)
async def _handle_return_units(
    components: Components, vm: str, body: ReturnUnits
) -> Any:
    components.rates.handle_return_units(vm, body)
    return Acknowledged()


@_handles(GuardBegin)
async def _handle_guard_begin(
    components: Components, _: str, body: GuardBegin
) -> Any:
    return components.guard.begin(body)


@_handles(GuardFinish)
async def _handle_guard_finish(
    components: Components, _: str, body: GuardFinish
) -> Any:
    components.guard.finish(body)
    return Acknowledged()


@_handles(GuardHandover)
async def _handle_guard_handover(
    components: Components, _: str, body: GuardHandover
) -> Any:
    components.guard.import_records(body)
    return Acknowledged()


@_handles(SharesReleased)
async def _handle_shares_released(
    components: Components, _: str, body: SharesReleased
) -> Any:
    for share in body.shares:
        await components.ownership.claim(share)
    return Acknowledged()


@_handles(EndCountsHandover)
async def _handle_end_counts(
    components: Components,
    _: str,
    body: EndCountsHandover,
) -> Any:
    components.former_ends.keep(body)
    return Pong()


@_handles(StatusQuery)
async def _handle_status_query(
    components: Components, _: str, body: StatusQuery
) -> Any:
    return StatusReport(
        vm=components.membership.own.vm,
        members=components.membership.all_members(),
        fields=components.status_fields(),
    )


@_handles(TimelineQuery)
async def _handle_timeline_query(
    components: Components, _: str, body: TimelineQuery
) -> Any:
    return TimelineEvents(
        components.events.recent(body.request_id, body.max_events)
    )


@_handles(DrainRequest)
async def _handle_drain_request(
    components: Components, _: str, body: DrainRequest
) -> Any:
    components.set_draining(draining=body.draining)
    await asyncio.sleep(0)
    return Acknowledged()
