"""Drills: a fleet of real processes on one machine, with injected faults, judged by its history alone.

    scenario = load_scenario(Path("drills/server-killed.toml"))
    asyncio.run(DrillPlayer(scenario, seed=1, out=Path("out")).run())
    for check in judgement.judge(scenario, history.read_history(Path("out"))):
        print(check.name, check.passed, check.measured, check.bound)

`scenario` defines the scenario file; `execution` plays it and carries out the steps of its timeline.
`processes` places and supervises the processes: balancers, registry instances, and the test `servers`. Faults
are set on the `links` between them. Everything is recorded in the `history`, the only input of the `checks`.
`defects` has the seeded defects of balancers and registries; `report` writes an HTML page.
"""
