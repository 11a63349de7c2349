"""Log lines and gauges about the chains that a node can use."""

import eventlet

from wigeonspoke.ingress.state import IngressState

ROUND_SECONDS = 1.0


class ChainReporter:
    """Writes a line when the chains of a failure domain have changed."""

    __slots__ = ('described', 'state')

    def __init__(self, state: IngressState) -> None:
        self.state = state
        # The last description written, by service and failure domain.
        self.described: dict[tuple[str, str], str] = {}

    def run(self) -> None:
        """Report changes periodically; never returns."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            self.report()

    def report(self) -> None:
        """Write a line for each domain whose chains have changed."""
        for service in self.state.routing_table.services.values():
            if service.engine is None:
                continue
            domains = self.state.chains.describe_domains(
                service.name, service.engine
            )
            for domain, description in sorted(domains.items()):
                key = (service.name, domain)
                if self.described.get(key) != description:
                    self.described[key] = description
                    self.state.log.write(
                        'chains',
                        service=service.name,
                        domain=domain,
                        revision=self.state.fleet.revision,
                        chains=description,
                    )
