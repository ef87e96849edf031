"""HTTP header conventions between a node and its local target."""

import abc
import secrets

from chivelead_protocol import CallRequest, Headers, Outcome

from chivelead_node._internal import calls
from chivelead_node._internal.targets import TargetResponse

_UNAVAILABLE = 503
# 128 bits, so that tokens cannot be guessed.
_TOKEN_BYTES = 16


class TargetDialect(abc.ABC):
    """Request headers for a target and the meaning of its responses."""

    @abc.abstractmethod
    def request_headers(
        self,
        request: CallRequest,
        token: str,
        remaining_ms: float,
    ) -> Headers:
        """Return the headers that the node adds to a request.

        Args:
            request: Call to forward.
            token: Token that the target sends with each call that it makes
                for this request, so that the node can attribute it.
            remaining_ms: Time left until the deadline.
        """

    def make_token(self, request: CallRequest) -> str:
        """Return a token that identifies a call while it runs at the target."""
        return request.attempt_id

    @abc.abstractmethod
    def is_overload_refusal(self, response: TargetResponse) -> bool:
        """Return whether the target refused the request without running it."""

    def is_response_to(
        self, request: CallRequest, status: int, headers: Headers
    ) -> bool:
        """Return whether a response belongs to a request, from its headers.

        Raises:
            TargetFailedError: The response is not valid for a target.
        """
        return True


class ChiveleadDialect(TargetDialect):
    """Headers of the native chivelead interface for targets."""

    def make_token(self, request: CallRequest) -> str:
        """Return a random token, as it authenticates the target's calls."""
        return secrets.token_urlsafe(_TOKEN_BYTES)

    def request_headers(
        self,
        request: CallRequest,
        token: str,
        remaining_ms: float,
    ) -> Headers:
        """Return the host, token, request id, timeout and organisation."""
        return (
            # A target with the native interface serves a single host.
            ('Host', request.service),
            (calls.HEADER_TOKEN, token),
            (calls.HEADER_REQUEST_ID, request.request_id),
            (calls.HEADER_TIMEOUT, f'{remaining_ms:.0f}'),
            (calls.HEADER_ORGANISATION, request.organisation),
        )

    def is_overload_refusal(self, response: TargetResponse) -> bool:
        """Return whether a 503 response reports the outcome ``not-run``."""
        if response.status != _UNAVAILABLE:
            return False
        return any(
            name.lower() == 'chivelead-outcome'
            and header_value == Outcome.not_run
            for name, header_value in response.headers
        )
