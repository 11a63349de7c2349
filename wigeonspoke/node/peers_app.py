"""The listener for peers."""

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
    """Answers gossip and hands out the configuration in force."""

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
        """Take in a peer's message and answer with this node's."""
        authenticate(request, self.key_digest)
        timed = read_json(request, TimedMessage)
        self.gossip.take(timed)
        return JsonReply(self.gossip.message_to(timed.message.address))

    def get_configuration(self, request: Request) -> Response:
        """Answer with the configuration in force."""
        authenticate(request, self.key_digest)
        configuration = self.gossip.runtime.view.configuration
        if configuration is None:
            raise ApiError(
                http.HTTPStatus.NOT_FOUND,
                'missing',
                'no_configuration',
                'this node has no configuration yet',
            )
        return JsonReply(configuration)
