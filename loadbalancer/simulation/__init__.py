"""A model of the fleet in virtual time: clients, balancers, servers, discovery and the network between them.

It does no I/O and reads no clock: times are virtual, in ms. Each part has its own random stream, derived from
one seed, so that a new part does not shift the draws of another. The balancers run the decision module
`loadbalancer.policy` through `loadbalancer.interface`, as the real program does.

    drawn = draw(scenario, seed=3)
    result = SimulatedFleet(drawn, Balancer).run()
    print(result.utility.figure)
"""

from loadbalancer.simulation.fleet import SimulatedFleet
from loadbalancer.simulation.scenario import Scenario, ScenarioError, draw, load

__all__ = ["Scenario", "ScenarioError", "SimulatedFleet", "draw", "load"]
