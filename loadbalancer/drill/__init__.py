"""A fleet of real processes on one machine, with faults between them, judged by its history alone.

    scenario = load_scenario(Path("drills/server-killed.toml"))
    asyncio.run(DrillPlayer(scenario, seed=1, out=Path("out")).run())
    for check in judgement.judge(scenario, history.read_history(Path("out"))):
        print(check.name, check.passed, check.measured, check.bound)

`scenario` is what a drill is; `execution` plays it: the timeline, and what each step does. `processes` has
where each process runs and the supervisor that starts it: balancers, registry instances, and the test
`servers`. Faults are set on the `links` between them, and all of it stands in the `history`, which is all
that `checks` read. `defects` are balancers and registries made worse in one place; `report` draws a page.
"""
