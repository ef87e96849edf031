"""Messages by which the nodes beside the targets of a service share ends."""

import dataclasses

from chivelead_protocol._internal.codec import message


@dataclasses.dataclass(frozen=True)
class TargetEndReport:
    """The end of a target for which there was no known reason.

    Attributes:
        end_id: Unique for this start of the target.
        version: Version of the software of the target; empty if unknown.
        age_ms: Time since the end.
        fingerprints: Requests that were running.
    """

    end_id: str
    version: str
    age_ms: float
    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class AnswerReport:
    """An answer of a target to a request that had run at the end of another.

    Attributes:
        age_ms: Time since the answer.
    """

    fingerprint: str
    age_ms: float


@message(77)
@dataclasses.dataclass(frozen=True)
class TargetEndNotice:
    """Ends of targets of one service, from one node beside them to another.

    The reply is a ``Pong``.
    """

    ends: tuple[TargetEndReport, ...]
    answers: tuple[AnswerReport, ...]
