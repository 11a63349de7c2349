"""The ingress node: requests forwarded whole to replicas and chains."""

from wigeonspoke.ingress.node import IngressNode, TableNames
from wigeonspoke.ingress.settings import IngressSettings

__all__ = ('IngressNode', 'IngressSettings', 'TableNames')
