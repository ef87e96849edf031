"""Errors that hold neither the bytes that caused them nor a connection."""

_MAX_LENGTH = 200


def describe_error(error: BaseException) -> str:
    """Return the type and text of an error, cut off where it gets long.

    The text of an error of a parser contains what was received.
    """
    text = shorten(str(error))
    name = type(error).__name__
    return f'{name}: {text}' if text else name


def shorten(text: str) -> str:
    """Return a text in one line, cut off where it gets long."""
    return ' '.join(text[:_MAX_LENGTH].split())


def release_frames(error: BaseException | None) -> None:
    """Drop the tracebacks of an error and of its causes.

    A traceback holds the frames that the error passed, with the connection and
    the bytes received on it.  A connection that keeps the error would be in a
    reference cycle, and its bytes in memory until a garbage collection.
    """
    released: set[int] = set()
    while error is not None and id(error) not in released:
        released.add(id(error))
        error.__traceback__ = None
        error = error.__cause__ or error.__context__
