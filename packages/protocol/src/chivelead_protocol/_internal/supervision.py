"""Background tasks that survive unexpected errors.

A task that ends by an exception that nobody awaits is noticed by no one, and
its work is no longer done while the process goes on.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

logger = logging.getLogger(__name__)

_RESTART_DELAY_S = 0.5

Work = Callable[[], Coroutine[Any, Any, None]]
# Called with the name of the task and the error.
FailureRecorder = Callable[[str, Exception], None]


def log_task_failure(name: str, error: Exception) -> None:
    """Write the failure of a task to the log, with its traceback."""
    logger.error('task %s failed', name, exc_info=error)


def start_supervised(
    name: str,
    work: Work,
    record_failure: FailureRecorder = log_task_failure,
) -> asyncio.Task[None]:
    """Start a task that runs ``work`` again, after a delay, when it fails.

    The task ends when ``work`` returns, or when it is cancelled.

    Args:
        name: Name of the task, for the log.
        work: Returns the coroutine to run.
        record_failure: Receives each error that ended ``work``.
    """
    return asyncio.create_task(_run_until_done(name, work, record_failure))


def start_once(
    name: str,
    work: Work,
    record_failure: FailureRecorder = log_task_failure,
) -> asyncio.Task[bool]:
    """Start a task that is not repeated when it fails.

    For work that another occasion, such as the next report, repeats.

    Args:
        name: Name of the task, for the log.
        work: Returns the coroutine to run.
        record_failure: Receives the error that ended ``work``.
    """
    return asyncio.create_task(_run_once(name, work, record_failure))


async def _run_until_done(
    name: str, work: Work, record_failure: FailureRecorder
) -> None:
    while not await _run_once(name, work, record_failure):
        await asyncio.sleep(_RESTART_DELAY_S)


async def _run_once(
    name: str, work: Work, record_failure: FailureRecorder
) -> bool:
    """Return whether the work was done."""
    try:
        await work()
    except Exception as error:  # noqa: BLE001
        record_failure(name, error)
        return False
    return True
