"""The exception hierarchy of chivelead.

Every error names the failed operation and its cause, and may add a hint.
"""


class ChiveleadError(Exception):
    """Base of all errors raised by chivelead.

    Args:
        operation: The operation that failed.
        cause: The cause, as far as known.
        hint: What to do next, or what state the error leaves; may be empty.
    """

    def __init__(self, operation: str, cause: str, hint: str = '') -> None:
        """Store the three parts and build a one-line message."""
        self.operation = operation
        self.cause = cause
        self.hint = hint
        suffix = f' ({hint})' if hint else ''
        super().__init__(f'{operation}: {cause}{suffix}')


class ProtocolError(ChiveleadError):
    """A peer violated the protocol or reported a failure."""


class EncodingError(ChiveleadError):
    """A message cannot be sent as one frame; nothing was sent."""


class AuthenticationError(ProtocolError):
    """A peer could not prove that it knows the fleet secret."""


class LinkError(ChiveleadError):
    """A message could not be sent to a peer, or its reply not received."""


class LinkNotOpenError(LinkError):
    """The link was not open, so the message was not sent."""


class LinkLostError(LinkError):
    """The link was lost; the message may or may not have been sent."""


class NoRoomError(LinkError):
    """There is no memory for the reply; the peer has handled the request."""


class ReplyTimeoutError(LinkError):
    """The peer did not reply in time; it may have handled the request."""


class ConfigurationError(ChiveleadError):
    """Settings, documents or other configuration are not valid."""


class StoreError(ChiveleadError):
    """The key-value store rejected a call or failed to handle it."""


class StoreUnavailableError(StoreError):
    """The store is unavailable; a write may or may not have taken effect."""


class StoreTimeoutError(StoreUnavailableError):
    """The store did not respond in time; its connection may be silent."""


class StoreConflictError(StoreError):
    """A conditional write failed because a key has another revision."""


class StoreNotFoundError(StoreConflictError):
    """A key or lease that a call needs does not exist."""


class HistoryLostError(StoreError):
    """The store no longer has the changes since a revision; list again."""
