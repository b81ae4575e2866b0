"""A model of the fleet in virtual time: clients, balancers, servers, discovery and the network between them.

It does no I/O and reads no clock: all times are milliseconds of its own, and all chance comes from one seed,
each part from a stream of its own, so that a new part does not shift another's draws. The balancers run the
decisions of `loadbalancer.policy` through `loadbalancer.interface`, as the real program does.

    day = draw(scenario, seed=3)
    result = World(day, Balancer).run()
    print(result.utility.figure)
"""

from loadbalancer.simulation.fleet import SimulatedFleet
from loadbalancer.simulation.scenario import Scenario, ScenarioError, draw, load

__all__ = ["Scenario", "ScenarioError", "SimulatedFleet", "draw", "load"]
