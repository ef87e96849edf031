"""Input from the platform is parsed, or rejected with a clear error."""

import json

import pytest
from chivelead_config import NodeRequestKind
from chivelead_platform import (
    classify_request,
    parse_announcement,
    parse_plan,
    parse_process_settings,
)
from chivelead_protocol import ConfigurationError, TargetState

SETTINGS = """
[self]
node = "sidecar-howrah-1"
ip = "10.1.0.26"
zone = "howrah"
region = "south-bengal"
bootstrap = true
app_addr = "10.1.0.26:8547"
service = "huvo11a"
unheard_of = 1
[self.limits]
memory_mb = 300
[network]
internal_ports = [7000, 7015]
[network.listen]
inbound = "10.1.0.26:8543"
outbound = "10.1.0.26:8548"
readiness = "10.1.0.26:8546"
admin = "10.1.0.26:8540"
[network.zones]
howrah = "south-bengal"
[platform]
heartbeat_ms = 1500
[platform.platform]
address = "10.200.1.7:8545"
[terms.bounds]
grace_s = 6
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 48
"""


def edit(**changes):
    """Return the text of an edit with one route."""
    route = {
        'host': 'Shop.example',
        'prefix': '/a/',
        'type': 'safe',
        'service': 'stock',
        'priority': 2,
        **changes,
    }
    return json.dumps(
        {
            'version': 7,
            'resources': [
                {
                    'type_url': 'routes',
                    'metadata': {'name': 'r'},
                    'spec': route,
                },
                {
                    'type_url': 'tenants',
                    'metadata': {'name': 'mill'},
                    'spec': {'api_keys': ['k'], 'priority': 0},
                },
            ],
        },
    ).encode()


def test_settings():
    settings = parse_process_settings(SETTINGS)
    assert settings.vm == 'sidecar-howrah-1'
    assert settings.callers_address.port == 8548
    assert settings.announcements_address.port == 8540
    assert settings.bounds.grace_ms == 6000
    assert settings.bounds.retry_window_ms == 10_000
    assert settings.peer_port == 7000


@pytest.mark.parametrize(
    ('before', 'after', 'expected_text'),
    [
        ('node = "sidecar-howrah-1"', '', 'settings.self.node'),
        ('"10.1.0.26:8548"', '"nowhere"', 'nowhere'),
        ('[7000, 7015]', '[]', 'internal_ports'),
        ('grace_s = 6', 'grace_s = "long"', 'grace_s'),
        ('[self]', '[self', 'read settings'),
    ],
)
def test_error_names_the_invalid_setting(before, after, expected_text):
    with pytest.raises(ConfigurationError, match=expected_text):
        parse_process_settings(SETTINGS.replace(before, after))


def test_edit_is_parsed_into_a_plan():
    plan = parse_plan(edit())
    route = plan.find_route('shop.example', '/a/b')
    assert plan.version == 7
    assert (route.idempotent, route.importance) == (True, 7)
    assert plan.organisations['mill'].importance == 9
    assert plan.find_route('shop.example', '/ab') is None
    assert 'k' not in plan.organisations_by_digest


def test_upload_routes_are_not_idempotent():
    route = parse_plan(edit(type='upload')).find_route('shop.example', '/a/')
    assert not route.idempotent


def test_longest_prefix_wins():
    raw = json.loads(edit())
    longer = json.loads(edit(prefix='/a/b/', service='deep'))['resources'][0]
    raw['resources'].append(longer)
    plan = parse_plan(json.dumps(raw).encode())
    assert (
        plan.find_route('shop.example', '/a/b/c').weighted_services[0].service
        == 'deep'
    )
    assert (
        plan.find_route('shop.example', '/a/x').weighted_services[0].service
        == 'stock'
    )


@pytest.mark.parametrize(
    'changes',
    [
        {'type': 'sometimes'},
        {'service': 7},
        {'timeout_ms': -1},
        {'priority': True},
    ],
)
def test_invalid_edit_is_rejected(changes):
    with pytest.raises(ConfigurationError):
        parse_plan(edit(**changes))


def test_truncated_edit_is_rejected():
    with pytest.raises(ConfigurationError, match='read edit'):
        parse_plan(edit()[:-4])


def test_classify_request():
    assert (
        classify_request('GET', '/api/ready', '') is NodeRequestKind.readiness
    )
    assert classify_request('POST', '/api/ready', '') is NodeRequestKind.unknown
    kind = classify_request('POST', '/api/rpc', 'instances.heartbeat')
    assert kind is NodeRequestKind.announcement
    assert (
        classify_request('POST', '/api/rpc', 'other') is NodeRequestKind.unknown
    )


def test_announcement():
    announcement = parse_announcement(
        'i-1',
        json.dumps(
            {
                'address': '10.0.0.1:80',
                'born': 12,
                'info': {'service': 'stock', 'slots': 8},
                'status': {'state': 'draining', 'seq': 4},
            },
        ).encode(),
    )
    assert announcement.state is TargetState.draining
    assert (
        announcement.started_ms,
        announcement.sequence,
        announcement.slots,
    ) == (12, 4, 8)


# Guards against the loss of a target whose announcement has an odd version: it
# only says when a harmful request gets a trial.
@pytest.mark.parametrize(
    ('raw', 'version'),
    [('v2', 'v2'), (7, ''), (None, ''), ('v' * 500, 'v' * 100)],
)
def test_announcement_with_an_odd_version_still_counts(raw, version):
    announcement = parse_announcement(
        'i-1',
        json.dumps(
            {
                'address': '10.0.0.1:80',
                'info': {'service': 'stock', 'slots': 8, 'version': raw},
                'status': {'state': 'ready', 'seq': 4},
            },
        ).encode(),
    )
    assert announcement.version == version
