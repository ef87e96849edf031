"""Interface for keeping requests away from a target that ends under them."""

import hashlib

from chivelead_protocol import CallRequest, Outcome

from chivelead_node._internal import calls

_FINGERPRINT_BYTES = 8
_LENGTH_BYTES = 8
_BAD_GATEWAY = 502
_UNAVAILABLE = 503

# The outcome is unknown, also of an attempt that has not run: a reply that says
# so would invite the caller to send the request again.
HARMFUL_REQUEST = calls.Refusal(
    _BAD_GATEWAY,
    'harmful-request',
    Outcome.unknown,
    'targets ended while they ran this request',
)
SUSPECTED_REQUEST = calls.Refusal(
    _UNAVAILABLE,
    'suspected-request',
    Outcome.not_run,
    'targets ended while they ran this request; another target may run it',
)


class RequestGuard:
    """Refuses requests under which targets have ended.

    The default implementation refuses nothing.
    """

    _no_refusal: calls.Refusal | None = None

    def find_refusal(self, request: CallRequest) -> calls.Refusal | None:
        """Return why the target must not run a request, or None if it may."""
        return self._no_refusal

    def started(self, request: CallRequest) -> None:
        """Handle a request that is sent to the target."""

    def answered(self, request: CallRequest) -> None:
        """Handle a complete response of the target to a request that ran."""

    def ended(self, request: CallRequest) -> None:
        """Handle the end of a started request, answered or not."""

    async def is_final_failure(self, request: CallRequest) -> bool:
        """Return whether a request that failed must not be sent again.

        Called before ``ended``, when the target broke off a request.
        """
        return False


def fingerprint(request: CallRequest) -> str:
    """Return a digest of what a target is asked to do.

    It is the same when a caller sends the request again under another ID, and
    for all organisations, since what ends a target is seldom who asks.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (
        request.service.encode(),
        request.method.encode(),
        request.path.encode(errors='surrogateescape'),
        request.body,
    ):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
