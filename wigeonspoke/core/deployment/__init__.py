"""Records of a deployment's configuration."""

from wigeonspoke.core.deployment.records import (
    Account,
    Configuration,
    Engine,
    LayerRange,
    Link,
    Model,
    Operation,
    Service,
    ServiceReplica,
)

__all__ = (
    'Account',
    'Configuration',
    'Engine',
    'LayerRange',
    'Link',
    'Model',
    'Operation',
    'Service',
    'ServiceReplica',
)
