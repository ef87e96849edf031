"""Answers to the messages of other nodes, by message type."""

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

from chivelead_node._internal.parts import Parts

_Answer = Callable[[Parts, str, Any], Awaitable[Any]]
_answers: dict[type, _Answer] = {}


def _answers_to(kind: type) -> Callable[[_Answer], _Answer]:
    def register(answer: _Answer) -> _Answer:
        _answers[kind] = answer
        return answer

    return register


async def answer_peer(parts: Parts, vm: str, body: Any) -> Any:
    """Return the reply to a message of a peer, or None.

    Raises:
        ProtocolError: Nodes do not take such messages.
    """
    answer = _answers.get(type(body))
    if answer is None:
        raise ProtocolError(
            f'answer {vm}',
            f'{type(body).__name__} is no message to a node',
        )
    return await answer(parts, vm, body)


@_answers_to(CallRequest)
async def _call(parts: Parts, _: str, body: CallRequest) -> Any:
    return await parts.inbound.answer(body)


@_answers_to(CallCancel)
async def _cancel(parts: Parts, _: str, body: CallCancel) -> None:
    parts.inbound.cancel(body.attempt_id)


@_answers_to(Ping)
async def _ping(parts: Parts, _: str, body: Ping) -> Any:
    return Pong()


@_answers_to(Gossip)
async def _gossip(parts: Parts, vm: str, body: Gossip) -> Any:
    return parts.gossip.answer_gossip(vm, body)


@_answers_to(MemberSummary)
async def _summary(parts: Parts, _: str, body: MemberSummary) -> Any:
    return parts.gossip.answer_summary(body)


@_answers_to(DocumentsPull)
async def _pull(parts: Parts, _: str, body: DocumentsPull) -> Any:
    return parts.spread.answer_pull(body)


@_answers_to(DocumentsOffer)
async def _offer(parts: Parts, vm: str, body: DocumentsOffer) -> Any:
    return await parts.spread.answer_offer(vm, body)


@_answers_to(TakeTokens)
async def _take(parts: Parts, vm: str, body: TakeTokens) -> Any:
    return await parts.rates.handle_take_tokens(vm, body)


@_answers_to(BorrowUnits)
async def _borrow(parts: Parts, vm: str, body: BorrowUnits) -> Any:
    return await parts.rates.handle_borrow_units(vm, body)


@_answers_to(ReturnUnits)
async def _return(parts: Parts, vm: str, body: ReturnUnits) -> Any:
    parts.rates.handle_return_units(vm, body)
    return Acknowledged()


@_answers_to(GuardBegin)
async def _guard_begin(parts: Parts, _: str, body: GuardBegin) -> Any:
    return parts.guard.begin(body)


@_answers_to(GuardFinish)
async def _guard_finish(parts: Parts, _: str, body: GuardFinish) -> Any:
    parts.guard.finish(body)
    return Acknowledged()


@_answers_to(GuardHandover)
async def _handover(parts: Parts, _: str, body: GuardHandover) -> Any:
    parts.guard.import_memory(body)
    return Acknowledged()


@_answers_to(SharesReleased)
async def _released(parts: Parts, _: str, body: SharesReleased) -> Any:
    for share in body.shares:
        await parts.ownership.claim(share)
    return Acknowledged()


@_answers_to(StatusQuery)
async def _status(parts: Parts, _: str, body: StatusQuery) -> Any:
    return StatusReport(
        vm=parts.membership.own.vm,
        members=parts.membership.every(),
        facts=parts.facts(),
    )


@_answers_to(TimelineQuery)
async def _timeline(parts: Parts, _: str, body: TimelineQuery) -> Any:
    return TimelineEvents(parts.events.recent(body.request_id, body.most))


@_answers_to(DrainRequest)
async def _drain(parts: Parts, _: str, body: DrainRequest) -> Any:
    parts.set_draining(draining=body.draining)
    await asyncio.sleep(0)
    return Acknowledged()
