"""A router for model pipelines on mixed accelerators.

The package consists of a library and thin daemons.  :mod:`wigeonspoke.core`
makes all decisions and performs no input or output; the other subpackages
connect it to sockets, timers and files.
"""

__version__ = '0.1.0'

__all__ = ('__version__',)
