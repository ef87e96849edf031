"""An instance that started again leaves before its late heartbeat arrives."""

import asyncio
import contextlib
import pathlib

from fleet import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    Client,
    ReviewFleet,
    run_case,
)

FOLDER = pathlib.Path(__file__).parent
DRAIN_S = 2.5
# Time of network and of the event loops of this script.
SLACK_S = 0.1
HEARTBEAT_LATE_S = 5.0
DOWN_S = 1.0
UP_S = 1.0
SERVES_ON_S = 4.3
# An instance that has just started is slow for some seconds.
WARMUP_MS = 6000
WORK_S = 0.15
SLOW_WORK_S = 0.6
ROUTES = (
    ('/read/', 'stock', 'safe', {}),
    ('/book/', 'stock', 'unsafe', {}),
)


async def case(record):
    fleet = ReviewFleet(
        record,
        'stock',
        'stock',
        'orders',
        work_s=WORK_S,
        slow_work_s=SLOW_WORK_S,
    )
    clients = []
    tasks = []
    try:
        await fleet.start(routes=ROUTES)
        clients = [
            Client(fleet, index, path, 0.02, method)
            for index in range(3)
            for path, method in (('/read/', 'GET'), ('/book/', 'POST'))
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(4)
        instance = fleet.targets[0]
        if not instance.arrivals:
            record.add('no request reached the instance')
            return COULD_NOT_RUN
        instance.accepts_heartbeats = False
        record.add(f'{instance.name} crashes')
        await instance.close()
        await asyncio.sleep(DOWN_S)
        await instance.start_again()
        record.add(f'{instance.name} starts again under its id')
        first_heartbeat = instance.make_announcement(WARMUP_MS)
        heartbeat = asyncio.create_task(
            deliver(fleet, first_heartbeat, HEARTBEAT_LATE_S if TROUBLE else 0)
        )
        await asyncio.sleep(UP_S)
        instance.is_leaving = True
        status = await fleet.call_control_api(0, 'instances.deregister')
        acknowledged = record.now()
        if status != 200:
            record.add('the leaving was not acknowledged')
            return COULD_NOT_RUN
        await asyncio.sleep(SERVES_ON_S)
        record.add(f'{instance.name} exits')
        await instance.close()
        await heartbeat
        # Answers of what was lost with it.
        await asyncio.sleep(1)
        return judge(record, instance, clients, acknowledged)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(Exception):
            await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.close()


async def deliver(fleet, announcement, late_s):
    await asyncio.sleep(late_s)
    await fleet.call_control_api(
        0, 'instances.heartbeat', announcement, f'(ready, {late_s} s late)'
    )


def judge(record, instance, clients, acknowledged):
    sent = {}
    statuses = {}
    for client in clients:
        sent.update(client.sent)
        statuses.update(client.statuses)
    late = [
        (moment, request_id)
        for moment, request_id in instance.arrivals
        if moment > acknowledged + DRAIN_S + SLACK_S and request_id in sent
    ]
    for moment, request_id in late:
        record.add(
            f'BROKEN: {request_id}, sent at {sent[request_id]:.3f}, reached '
            f'{instance.name} {moment - acknowledged:.3f} s after the '
            f'acknowledgement; its client got {statuses.get(request_id)}',
            moment,
        )
    record.add(f'{len(late)} requests reached it later than drain_ms')
    return BROKEN if late else HELD


run_case(FOLDER, case)
