"""Fetches configurations from the store and from peers."""

import eventlet
from returns.result import Result, Success

from wigeonspoke.config import ConfigStore
from wigeonspoke.core.deployment import Configuration
from wigeonspoke.core.events import ConfigurationAdopted
from wigeonspoke.node.runtime import Runtime
from wigeonspoke.serialization import decode_json
from wigeonspoke.transport import HttpClient

POLL_SECONDS = 0.5
CONFIGURATION_PATH = '/peers/v1/configuration'


class ConfigSync:
    """Adopts the highest generation found in the store or at a peer.

    ``store_reached`` tells whether the last poll of the store succeeded.
    """

    __slots__ = ('client', 'runtime', 'store', 'store_reached')

    def __init__(
        self,
        runtime: Runtime,
        store: ConfigStore,
        client: HttpClient,
    ) -> None:
        self.runtime = runtime
        self.store = store
        self.client = client
        self.store_reached = False

    @property
    def generation(self) -> int:
        """The generation of this node's active configuration."""
        return self.runtime.view.generation

    def poll_forever(self) -> None:
        """Poll the store at a fixed interval."""
        while True:
            self.poll_once()
            eventlet.sleep(POLL_SECONDS)

    def poll_once(self) -> None:
        """Adopt the configuration in the store if it is newer."""
        read = self.store.read_head()
        self.store_reached = isinstance(read, Success)
        if not self.store_reached:
            return
        head = read.unwrap().head
        if head.generation > self.generation:
            self._adopt(self.store.read_body(head))

    def fetch_from(self, peer: str) -> None:
        """Fetch the active configuration of a peer and adopt it if newer."""
        reply = self.client.get(peer, CONFIGURATION_PATH)
        if not isinstance(reply, Success):
            return
        http_reply = reply.unwrap()
        if not http_reply.is_ok:
            return
        self._adopt(decode_json(http_reply.body, Configuration))

    def _adopt(self, body: Result) -> None:
        if isinstance(body, Success):
            self.runtime.dispatch(ConfigurationAdopted(body.unwrap()))
