"""The router process that runs on an entry host."""

from wigeonspoke.node.daemon import Node
from wigeonspoke.node.settings import NodeSettings, SettingError, check_settings

__all__ = ('Node', 'NodeSettings', 'SettingError', 'check_settings')
