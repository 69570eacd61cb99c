"""The state service refuses the leader alone while a job is cancelled at another controller: no task of it may be started from then on."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REFUSED_S = 10.0
IN_FLIGHT_S = 0.5  # far more than any delay in this test: a start in the answer to a report sent later was not in flight


class World(standins.World):
    """The settings of paio-linemast."""
    report_s, lease_s, cancel_s = 3.0, 16.0, 41.0
    fd_limit = 500
    zones = ("kamloops",)
    state = {"rps": 250.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 40}
    cloud_limits = {"rps": 3.0, "list_lag_s": 8.0}
    teams = (("intake-desk", 60.0, 180.0), ("matching-desk", 60.0, 180.0))
    types = ({"name": "slim-4", "vcpus": 4.0, "gpus": 0.0, "memory_gb": 32.0, "local_gb": 60.0, "fetch_gb_per_s": 0.2, "price": 0.29,
              "market_price": 0.1, "startup_s": 30.0, "yards": ["kamloops"]},)


async def scenario(world):
    await world.start([("slim-4", "kamloops")] * 5)
    job = world.job(1, lane="match-batch", pieces=270, run_s=1.5, guess_s=1.5)
    await world.submit(job, world.nodes[0])
    while len(world.starts) < 50:
        await asyncio.sleep(0.1)
    leader = world.leader()
    other = next(node for node in world.nodes if node is not leader)
    if TROUBLE:
        world.store.refused.add(leader.name)
        world.record.line(f"the state service refuses {leader.name}, the leader, alone")
    answer = await world.cancel(job["name_id"], other)
    if answer["status"] != "withdrawn":
        raise RuntimeError("the job was not cancelled")
    told = world.record.now()
    world.record.line("the user has been told that the job is cancelled")
    await asyncio.sleep(REFUSED_S)
    world.store.refused.clear()
    await asyncio.sleep(3.0)
    late = [start for start in world.starts if start[0] > told + IN_FLIGHT_S]
    if not late:
        return 0
    world.record.line(f"{len(late)} TASKS STARTED by answers to reports sent {late[0][0] - told:.2f} to {late[-1][0] - told:.2f} s after the user "
                      f"was told: {', '.join(start[2] for start in late[:8])}")
    return 1


standins.run(scenario, World(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")))
