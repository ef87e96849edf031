"""Small fleet layouts for the failure scenarios."""

import configparser

_DOMAINS = """
[failure_domain north-1]
region = north

[failure_domain south-1]
region = south
"""

_SERVICE = """
[service {name}]
instances = {instances}
slots = {slots}
connections = 200
service_ms = {service_ms}
downstream = {downstream}

[route:{name} ready]
method = GET
path = /ready
importance = 5
idempotent = yes
timeout_ms = 2000

[route:{name} low]
method = GET
path = /low
importance = 2
idempotent = yes
timeout_ms = 1000

[route:{name} high]
method = GET
path = /high
importance = 8
idempotent = yes
timeout_ms = 1000

[route:{name} book]
method = POST
path = /book
importance = 8
idempotent = no
timeout_ms = 1500
"""

_ORGANISATION = """
[organisation {name}]
rate_per_s = {rate}
burst_requests = {burst}
"""


def _parse(*sections: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string('\n'.join(sections))
    return parser


def small_layout() -> configparser.ConfigParser:
    """Return two services with two instances each in two failure domains."""
    return _parse(
        _DOMAINS,
        _SERVICE.format(
            name='orders',
            instances=2,
            slots=40,
            service_ms=5,
            downstream='',
        ),
        _SERVICE.format(
            name='stock',
            instances=2,
            slots=8,
            service_ms=20,
            downstream='',
        ),
        _ORGANISATION.format(name='mill', rate=60, burst=30),
        _ORGANISATION.format(name='yard', rate=300, burst=300),
    )


def chain_layout() -> configparser.ConfigParser:
    """Return a chain of five services; the fourth calls the last one twice."""
    names = ('one', 'two', 'three', 'four', 'five')
    downstreams = ('two/low', 'three/low', 'four/low', 'five/low five/high', '')
    return _parse(
        _DOMAINS,
        *(
            _SERVICE.format(
                name=name,
                instances=2,
                slots=40,
                service_ms=2,
                downstream=downstream,
            )
            for name, downstream in zip(names, downstreams, strict=True)
        ),
        _ORGANISATION.format(name='yard', rate=300, burst=300),
    )
