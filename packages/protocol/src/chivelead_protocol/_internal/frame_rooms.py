"""Memory for frames, which is taken before large ones are received."""

from typing import Protocol


class FrameRoom(Protocol):
    """Memory taken for the bytes of one frame."""

    def close(self) -> None:
        """Give the memory back."""


class FrameRooms(Protocol):
    """Source of the memory for frames."""

    def take_request(self, size_bytes: int) -> FrameRoom | None:
        """Take memory for a call; None if there is none left."""

    def take_reply(self, size_bytes: int) -> FrameRoom | None:
        """Take memory for the reply to a call; None if there is none left."""

    def take_message(self, size_bytes: int) -> FrameRoom | None:
        """Take memory for another message; None if there is none left."""

    def hold(self, size_bytes: int) -> FrameRoom:
        """Count bytes that must be kept in any case."""


class UnlimitedRooms:
    """Memory without a limit."""

    def take_request(self, size_bytes: int) -> FrameRoom | None:
        """Take memory for a call."""
        return self

    def take_reply(self, size_bytes: int) -> FrameRoom | None:
        """Take memory for the reply to a call."""
        return self

    def take_message(self, size_bytes: int) -> FrameRoom | None:
        """Take memory for another message."""
        return self

    def hold(self, size_bytes: int) -> FrameRoom:
        """Count bytes that must be kept in any case."""
        return self

    def close(self) -> None:
        """Give the memory back."""
