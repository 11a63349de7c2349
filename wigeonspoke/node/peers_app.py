"""HTTP API for peers."""

import http

from werkzeug.wrappers import Request, Response

from wigeonspoke.node.gossip import Gossip, TimedMessage
from wigeonspoke.webapp import (
    ApiError,
    HttpApp,
    JsonReply,
    authenticate,
    read_json,
)


class PeersApp(HttpApp):
    """Answers gossip messages and serves the active configuration."""

    __slots__ = ('gossip', 'key_digest')

    def __init__(self, gossip: Gossip, key_digest: str) -> None:
        super().__init__(
            [
                ('POST', '/peers/v1/gossip', self.post_gossip),
                ('GET', '/peers/v1/configuration', self.get_configuration),
            ]
        )
        self.gossip = gossip
        self.key_digest = key_digest

    def post_gossip(self, request: Request) -> Response:
        """Apply a peer's message and return this node's."""
        authenticate(request, self.key_digest)
        timed = read_json(request, TimedMessage)
        self.gossip.receive(timed)
        return JsonReply(self.gossip.message_to(timed.message.address))

    def get_configuration(self, request: Request) -> Response:
        """Return the active configuration."""
        authenticate(request, self.key_digest)
        configuration = self.gossip.runtime.view.configuration
        if configuration is None:
            raise ApiError(
                http.HTTPStatus.NOT_FOUND,
                'missing',
                'no_configuration',
                'this node has not received a configuration yet',
            )
        return JsonReply(configuration)
