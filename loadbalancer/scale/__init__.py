"""The fleet ahead on one machine: a real registry, a few real balancers, and thousands that are hollow.

    play = Play(Plan(balancers=500, hollow=498, real=2), out)
    figures = asyncio.run(play.run())

A hollow balancer is the endpoint watch on a real socket (`net/discovery/`) and the decision module, many in
a process, without calls. Real processes are those of `drill/processes/process.py`: killed when the driver is
gone. docs/scale.md is for users.
"""
