"""Entry point of the ingress node on the users' platform.

Eventlet must patch the standard library before any module that uses sockets
or sleeps is imported.
"""

import os
import sys
import warnings


def main() -> int:
    """Patch the standard library, then run the node until it stops."""
    warnings.simplefilter('ignore')
    # Addresses of peers are IP numbers, so Eventlet's DNS resolver is never
    # used, and loading it takes a third of the startup time.
    os.environ['EVENTLET_NO_GREENDNS'] = 'yes'
    import eventlet

    eventlet.monkey_patch()
    from wigeonspoke.platform.program import run_program

    return run_program()


if __name__ == '__main__':
    sys.exit(main())
