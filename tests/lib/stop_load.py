"""Load on nodes that are stopped and started again, and what became of it."""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import random
import signal

from lib.loopback_proxy import cancel_all
from lib.node_process import ProcessFleet

# Of the platform.
GRACE_S = 6
_DEADLINE_S = 4.95
_RECONNECT_S = 0.05
_OK = 200
_UNAVAILABLE = 503
# Clients get no new work of a node that has not been ready twice.
_UNREADY_S = 2.0
_CALLERS = 2
_ROUTES = (
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 9000}),
    ('/read/', 'orders', 'safe', {'timeout_ms': 9000}),
    ('/part/', 'stock', 'safe', {'timeout_ms': 9000, 'allow_anonymous': True}),
)


@dataclasses.dataclass
class Run:
    """A request at a target; its end is zero while it is at work."""

    node: int
    started_s: float
    ended_s: float = 0.0
    is_broken_off: bool = False
    failed_part: str = ''


@dataclasses.dataclass
class Call:
    """A request of a client; a status of zero stands for no answer."""

    node: int
    path: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False
    why: bytes = b''


@dataclasses.dataclass
class Stop:
    """A stop of a node, from the signal to the end of the process."""

    node: int
    started_s: float
    ended_s: float = 0.0


class StopLoad:
    """Clients at two nodes, and the nodes of targets that are stopped.

    Args:
        target_count: Number of targets that the clients need.
        seed: Chooses what clients ask for.
    """

    def __init__(self, target_count, seed):
        """Create the fleet without starting it."""
        self.random = random.Random(seed)
        services = ['stock' for _ in range(_CALLERS)]
        services.extend('orders' for _ in range(target_count))
        self.fleet = ProcessFleet(*services)
        self.calls = {}
        self.runs = collections.defaultdict(list)
        self.stops = []
        self._is_over = False

    @property
    def target_nodes(self):
        """Return the indexes of the nodes beside targets that clients need."""
        return range(_CALLERS, len(self.fleet.nodes))

    @contextlib.asynccontextmanager
    async def running(self, routes=_ROUTES):
        """Run the fleet."""
        try:
            await self.fleet.start(routes=routes, slots=400)
            for index, target in enumerate(self.fleet.targets):
                target.response_handler = functools.partial(
                    self._respond, index
                )
            yield self
        finally:
            await self.fleet.close()

    @contextlib.asynccontextmanager
    async def clients(self, count, choose_path):
        """Send requests all the while, each client one after the other."""
        tasks = [
            asyncio.create_task(
                self._send_forever(index % _CALLERS, choose_path)
            )
            for index in range(count)
        ]
        try:
            yield
            self._is_over = True
            await asyncio.wait(tasks, timeout=GRACE_S)
        finally:
            await cancel_all(tasks)

    async def stop(self, node, during=None):
        """Stop a node, wait for its end and start it again."""
        process = self.fleet.nodes[node]
        stop = Stop(node, now_s())
        self.stops.append(stop)
        process.send_signal(signal.SIGTERM)
        disturbing = during and asyncio.create_task(during(process))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        process.send_signal(signal.SIGKILL)
        await process.wait()
        stop.ended_s = now_s()
        if disturbing:
            await disturbing
        await process.start(first_start=False)
        await self.fleet.wait_until_ready(process)
        await asyncio.sleep(2)

    async def send(self, node, path, client=None, **options):
        """Send a request; return its record and the kept connection."""
        if client is None:
            client = await self.fleet.connect(node)
        call = Call(node, path, now_s())
        try:
            request_id = await client.send_request('POST', path, **options)
            self.calls[request_id] = call
            status, body = await client.read_response()
            call.status = status
            call.is_whole = len(body) >= int(path.rpartition('/')[2])
            call.why = body[:60]
        except (OSError, EOFError, TimeoutError) as error:
            call.why = repr(error).encode()
        call.ended_s = now_s()
        is_kept = call.status and 'close' not in client.last_headers.get(
            'connection', ''
        )
        if not is_kept:
            client.close()
            client = None
        return call, client

    def is_open(self, node):
        """Return whether clients send to a node."""
        return not any(
            stop.node == node
            and stop.started_s + _UNREADY_S < now_s()
            and (not stop.ended_s or now_s() < stop.ended_s + 1.5)
            for stop in self.stops
        )

    def describe_failures(self):
        """Return a line for each request that did not get its own answer."""
        return [
            f'{kind}: {self._describe(request_id, call)}'
            for request_id, call in self.calls.items()
            if (kind := self._classify(request_id, call))
        ]

    def summary(self):
        """Return counts of what became of the requests."""
        kinds = collections.Counter(
            self._classify(request_id, call) or f'{call.status}'
            for request_id, call in self.calls.items()
        )
        waits = [f'{stop.ended_s - stop.started_s:.1f}' for stop in self.stops]
        return f'{len(self.stops)} stops of {waits} s, {dict(kinds)}'

    def _classify(self, request_id, call):
        """Return what went wrong with a request; an empty text if nothing."""
        runs = self.runs.get(request_id, [])
        if call.status == _OK and call.is_whole:
            return 'twice' if '/book/' in call.path and len(runs) > 1 else ''
        is_over = not call.ended_s or call.ended_s - call.sent_s > _DEADLINE_S
        if is_over or (call.status == _UNAVAILABLE and not runs):
            return ''
        return _name_failure(call, runs)

    def _describe(self, request_id, call):
        runs = self.runs.get(request_id, [])
        nodes = {call.node, *(run.node for run in runs)}
        near = [
            f'node {stop.node} from {stop.started_s - call.sent_s:.2f} '
            f'to {stop.ended_s - call.sent_s:.2f}'
            for stop in self.stops
            if (stop.node in nodes or not runs)
            and -8 < stop.started_s - call.sent_s < 8
        ]
        where = [
            f'{run.node}: {run.started_s - call.sent_s:.2f} to '
            f'{run.ended_s - call.sent_s:.2f} {run.failed_part}'
            for run in runs
        ]
        return (
            f'{request_id} {call.path} at node {call.node}: {call.status} '
            f'{call.why!r} after {call.ended_s - call.sent_s:.3f} s, '
            f'runs {where}, stops {near}'
        )

    async def _send_forever(self, node, choose_path):
        client = None
        await asyncio.sleep(self.random.random())
        while not self._is_over:
            if not self.is_open(node):
                if client is not None:
                    client.close()
                client = None
                await asyncio.sleep(_RECONNECT_S)
                continue
            try:
                _, client = await self.send(node, choose_path(), client)
            except OSError:
                await asyncio.sleep(_RECONNECT_S)
            await asyncio.sleep(self.random.random() * 0.1)

    async def _respond(self, index, request):
        """Work for the time that the path tells, then answer."""
        _, _, delay_ms, size = request.path.split('/')
        run = Run(index, now_s())
        self.runs[request.headers['X-Request-Id']].append(run)
        try:
            if 'p' in delay_ms:
                await self._work_with_parts(index, delay_ms, run)
            else:
                await asyncio.sleep(int(delay_ms) / 1000)
        except asyncio.CancelledError:
            run.is_broken_off = True
            run.ended_s = now_s()
            raise
        run.ended_s = now_s()
        target = self.fleet.targets[index]
        response = target.make_response(request)
        response.text = 'x' * int(size)
        if run.failed_part:
            response.set_status(500)
        return response

    async def _work_with_parts(self, index, play, run):
        """Call another service through the node beside this target."""
        pause_ms, _, count = play.partition('p')
        client = None
        for _ in range(int(count)):
            await asyncio.sleep(int(pause_ms) / 1000)
            try:
                call, client = await self.send(
                    index, '/part/10/10', client, key=''
                )
            except OSError as error:
                run.failed_part = repr(error)
                return
            if call.status != _OK:
                run.failed_part = f'{call.status} {call.why!r}'
                return
        if client is not None:
            client.close()


def _name_failure(call, runs):
    if any(run.failed_part for run in runs):
        return 'failed part'
    if not runs:
        return 'failed, not run' if call.status else 'cut, not run'
    if not call.status:
        return 'cut, has run'
    broken_off = any(run.is_broken_off for run in runs)
    return 'broken off' if broken_off else 'replaced'


def now_s():
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()
