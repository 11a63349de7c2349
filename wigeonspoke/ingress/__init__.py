"""Ingress node: forwards whole requests to replicas and engine chains."""

from wigeonspoke.ingress.node import IngressNode, TableNames
from wigeonspoke.ingress.settings import IngressSettings

__all__ = ('IngressNode', 'IngressSettings', 'TableNames')
