"""Background loops of a node continue after an unforeseen error."""

from wigeonspoke.core.placement import PlacementController


# An error in one round ended the placement of a lease holder for good.
def test_placement_continues_after_an_unforeseen_error(
    placed_harness, monkeypatch
):
    failures = iter([True])
    decide = PlacementController.decide

    def decide_or_fail(controller, *args):
        if next(failures, False):
            raise ValueError('unforeseen')
        return decide(controller, *args)

    monkeypatch.setattr(PlacementController, 'decide', decide_or_fail)
    counters = placed_harness.node.state.counters
    placed_harness.wait_until(lambda: counters['loop-failed', ''])
    engine = next(
        engine for engine in placed_harness.engines if engine.zone == 'one'
    )
    engine.layers = None
    engine.born += 1
    engine.orders = 0
    placed_harness.publish_endpoints()
    placed_harness.wait_until(lambda: engine.layers is not None)
