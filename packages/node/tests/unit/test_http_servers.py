"""Tests of the HTTP servers of a node on the platform."""

import types

import pytest
from chivelead_node._internal.proxy.http_servers import HttpServers
from chivelead_protocol import ConfigurationError
from chivelead_protocol.bounds import edges

_HOST = '127.0.0.1'


# Guards against a start that fails without a reason that operators can read, as
# another process binds the same port at the same time and listens first.
async def test_port_that_another_process_listens_on_first_is_an_error():
    with edges.CALLERS.open_listener(_HOST, 0) as rival:
        port = rival.getsockname()[1]
        sock = edges.CALLERS.open_listener(_HOST, port)
        rival.listen()
        connections = types.SimpleNamespace(
            edge=types.SimpleNamespace(open_listener=lambda host, port: sock)
        )
        servers = HttpServers()
        with pytest.raises(ConfigurationError, match='in use'):
            await servers.listen(_HOST, port, None, connections)
        await servers.close()
        sock.close()
