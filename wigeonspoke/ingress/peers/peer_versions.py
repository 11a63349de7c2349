"""Which peers have read newer changes of the store's tables."""

import msgspec

from wigeonspoke.core.store_version import StoreVersion
from wigeonspoke.ingress.wake_up import WakeUp


class _PeerVersion(msgspec.Struct):
    """The newest known change of a table, its reporter and the time."""

    version: StoreVersion
    peer: str
    since: float


class PeerVersions:
    """The newest change of each table that a peer has reported.

    ``news`` is woken at each report of a newer one.
    """

    __slots__ = ('newest', 'news')

    def __init__(self) -> None:
        self.newest: dict[str, _PeerVersion] = {}
        self.news = WakeUp()

    def record(
        self, name: str, version: StoreVersion, peer: str, now: float
    ) -> None:
        """Record the newest change of a table that a peer has read."""
        known = self.newest.get(name)
        if known is None or version > known.version:
            self.newest[name] = _PeerVersion(version, peer, now)
            self.news.wake()
        elif version == known.version:
            # The latest reporter is the most likely to be reachable.
            known.peer = peer

    def has_newer(self, name: str, known: StoreVersion) -> bool:
        """Return whether a peer has reported a newer version than ``known``."""
        heard = self.newest.get(name)
        return heard is not None and heard.version > known

    def known_seconds(
        self, name: str, version: StoreVersion, now: float
    ) -> float | None:
        """Return how long ago a peer first told of the newest change.

        It is None unless ``version`` is that change.
        """
        heard = self.newest.get(name)
        if heard is None or heard.version != version:
            return None
        return now - heard.since

    def find_newer_peer(
        self, name: str, known: StoreVersion, heard_before: float
    ) -> str:
        """Return a peer with a newer version than ``known``, empty if none.

        Only changes first reported at or before ``heard_before`` count.
        """
        heard = self.newest.get(name)
        if (
            heard is None
            or heard.version <= known
            or heard.since > heard_before
        ):
            return ''
        return heard.peer
