"""A large fleet on one machine: a real registry, a few real balancers, and thousands of hollow ones.

    run = ScaleRun(Plan(balancers=500, hollow=498, real=2), out)
    figures = asyncio.run(run.run())

A hollow balancer is the endpoint watch on a real socket (`net/discovery/`) and the decision module, many in
a process, without calls. Real processes are those of `drill/processes/process.py`: killed when the driver
exits. docs/scale.md is for users.
"""
