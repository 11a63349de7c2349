"""The entry point of the program ``wigeonspoke``.

It lets eventlet patch the standard library before any other module is
imported.  Importing the library patches nothing.
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
