"""The program ``wigeonspoke``.

Sockets and sleeps are patched here, at the program's entry, before any
other module is imported; importing the library patches nothing.
"""

import warnings


def main() -> None:
    """Patch the standard library and run the command line."""
    warnings.simplefilter('ignore')
    import eventlet

    eventlet.monkey_patch()
    from wigeonspoke.cli import commands

    commands.main(prog_name='wigeonspoke')


if __name__ == '__main__':
    main()
