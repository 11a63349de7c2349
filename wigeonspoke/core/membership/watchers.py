"""Which nodes of a failure domain read a table from the store for the others.

Load: a change of the registry in a deployment of hundreds of nodes, each of
which would read it from the store by a call of its own.  A few nodes of each
domain do so, and the others hear of it from them.  All nodes compute the same
ones from the peers that they know, without an agreement.  Where they differ, a
node that is asked says that it does not read the table itself.
"""

from collections.abc import Collection

from wigeonspoke.core.rendezvous import rank_names

# Two, so that one may fail without a detour.
WATCHERS_PER_DOMAIN = 2
# In a smaller domain each node reads the store itself.
MIN_DOMAIN_NODES = 6


def choose_watchers(domain: str, nodes: Collection[str]) -> tuple[str, ...]:
    """Return the names of the watchers among the nodes of a domain.

    It is empty if all of them read the store.

    >>> choose_watchers('one', ['a', 'b'])
    ()
    """
    if len(nodes) < MIN_DOMAIN_NODES:
        return ()
    return rank_names(domain, nodes)[:WATCHERS_PER_DOMAIN]
