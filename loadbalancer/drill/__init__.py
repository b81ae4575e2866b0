"""A fleet of real processes on one machine, with faults between them, judged by its history alone.

    drill = load_scenario(Path("drills/server-killed.toml"))
    asyncio.run(Drive(drill, seed=1, out=Path("out")).run())
    for check in judgement.judge(drill, history.read(Path("out"))):
        print(check.name, check.held, check.measured, check.bound)

`scenario` reads what a drill is; `drive` plays it: its `crew` starts `processes` (balancers, and the stand-ins
`server`, `lists` and `clients`), `deeds` does what the steps say and sets faults on the `links` between them,
and all of it stands in the `history`. `checks` reads that and nothing else; `plants` are balancers with a
known defect; `report` draws a page.
"""
