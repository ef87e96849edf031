"""The exception tree of chivelead.

Every error says what failed, why, and what the reader can do about it.
"""


class ChiveleadError(Exception):
    """Base of all errors raised by chivelead.

    Args:
        what: The operation that failed.
        why: The cause, as far as it is known.
        hint: What the reader can do next; may be empty.
    """

    def __init__(self, operation: str, cause: str, hint: str = '') -> None:
        """Store the three parts and build one line from them."""
        self.operation = operation
        self.cause = cause
        self.hint = hint
        suffix = f' ({hint})' if hint else ''
        super().__init__(f'{operation}: {cause}{suffix}')


class ProtocolError(ChiveleadError):
    """A peer sent bytes that are not a valid message."""


class AuthenticationError(ProtocolError):
    """A peer could not prove that it holds the secret of the fleet."""


class LinkError(ChiveleadError):
    """A link to a peer could not carry a message."""


class LinkNotOpenError(LinkError):
    """The link was not open, so the message was never written."""


class LinkLostError(LinkError):
    """The link was lost after the message may have been written."""


class ReplyTimeoutError(LinkError):
    """The peer did not reply in time; it may have acted."""


class ConfigurationError(ChiveleadError):
    """Settings or documents are not valid."""


class StoreError(ChiveleadError):
    """The store of the platform refused or failed a call."""


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """A compare-and-swap met a newer revision."""


class StoreNotFoundError(StoreConflictError):
    """A key or lease that a call needs is no longer there."""


class HistoryLostError(StoreError):
    """The store has dropped the changes after a revision; list anew."""
