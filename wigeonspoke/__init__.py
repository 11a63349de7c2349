"""A router for model pipelines over mixed accelerators.

The package ships as a library with thin daemons.  :mod:`wigeonspoke.core`
holds every decision and does no input or output; the other subpackages put
sockets, timers and files round it.
"""

__version__ = '0.1.0'

__all__ = ('__version__',)
