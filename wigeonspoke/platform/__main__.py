"""The program of an entry host on the users' platform.

Sockets and sleeps are patched here, before any other module is imported.
"""

import os
import sys
import warnings


def main() -> int:
    """Patch the standard library and run the node until it is stopped."""
    warnings.simplefilter('ignore')
    # Peers are named by IP number: the library's resolver is a third of a
    # start and never asked.
    os.environ['EVENTLET_NO_GREENDNS'] = 'yes'
    import eventlet

    eventlet.monkey_patch()
    from wigeonspoke.platform.program import run_program

    return run_program()


if __name__ == '__main__':
    sys.exit(main())
