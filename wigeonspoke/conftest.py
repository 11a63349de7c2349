"""The entry of the test program: patches sockets as the daemons do."""

import warnings

warnings.simplefilter('ignore')

import eventlet  # noqa: E402

eventlet.monkey_patch()

from wigeonspoke.observe import configure_logs  # noqa: E402

configure_logs('ERROR', as_json=False)
