"""How a node speaks with the target beside it."""

import abc
import secrets

from chivelead_protocol import CallRequest, Headers, Outcome

from chivelead_node._internal import calls
from chivelead_node._internal.targets import TargetResponse

_UNAVAILABLE = 503
# 128 bits, as other keys that must not be guessed.
_TOKEN_BYTES = 16


class TargetDialect(abc.ABC):
    """Headers towards a target, and what its answers say."""

    @abc.abstractmethod
    def request_headers(
        self,
        request: CallRequest,
        token: str,
        remaining_ms: float,
    ) -> Headers:
        """Return the headers that the node sets.

        Args:
            request: The call.
            token: Names the call in calls that the target makes for it.
            left_ms: Time left until the deadline.
        """

    def make_token(self, request: CallRequest) -> str:
        """Return a name for a call while it runs at the target."""
        return request.attempt_id

    @abc.abstractmethod
    def is_overload_refusal(self, response: TargetResponse) -> bool:
        """Tell whether the target says that it has not run the request."""

    def is_response_to(
        self, request: CallRequest, status: int, headers: Headers
    ) -> bool:
        """Tell whether the head of an answer belongs to a request.

        Raises:
            TargetFailedError: It is no answer of a target.
        """
        return True


class ChiveleadDialect(TargetDialect):
    """The headers of chivelead's own interface."""

    def make_token(self, request: CallRequest) -> str:
        """Return a secret, since calls of the target are known by it."""
        return secrets.token_urlsafe(_TOKEN_BYTES)

    def request_headers(
        self,
        request: CallRequest,
        token: str,
        remaining_ms: float,
    ) -> Headers:
        """Return the token, identity, time and organisation."""
        return (
            # Targets of chivelead's own interface serve one host.
            ('Host', request.service),
            (calls.HEADER_TOKEN, token),
            (calls.HEADER_REQUEST_ID, request.request_id),
            (calls.HEADER_TIMEOUT, f'{remaining_ms:.0f}'),
            (calls.HEADER_ORGANISATION, request.organisation),
        )

    def is_overload_refusal(self, response: TargetResponse) -> bool:
        """Tell whether a target shed the request for overload."""
        if response.status != _UNAVAILABLE:
            return False
        return any(
            name.lower() == 'chivelead-outcome'
            and header_value == Outcome.not_run
            for name, header_value in response.headers
        )
