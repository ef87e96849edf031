"""The node daemon of chivelead."""

from chivelead_node._internal.daemon import NodeDaemon as NodeDaemon
