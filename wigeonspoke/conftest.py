"""Configuration of the tests: patches sockets as the daemons do."""

import warnings

warnings.simplefilter('ignore')

import eventlet

eventlet.monkey_patch()

from wigeonspoke.observe import configure_logs

configure_logs('ERROR', as_json=False)
