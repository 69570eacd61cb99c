"""Two jobs that were submitted with a mistake fail on every machine: once they are cancelled, other jobs must still run."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WAIT_S = 90.0      # "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"


async def scenario(world):
    await world.start([("mic-8", "cluj"), ("mic-8", "bucuresti"), ("mic-8", "cluj")])
    # 48 ordinary jobs and 2 with a mistake: a share of 0.04.
    before = [world.job(100 + number, run_s=1.0, guess_s=1.0) for number in range(8)]
    await asyncio.gather(*(world.submit(job, world.nodes[number % 3]) for number, job in enumerate(before)))
    while any(f"{job['name_id']}/0" not in world.done for job in before):
        await asyncio.sleep(0.1)
    ordinary = world.job(1, pieces=3, vcpus=5.0, run_s=8.0, guess_s=8.0)
    await world.submit(ordinary, world.nodes[0])
    while not all(world.runs(f"req-000001/{index}") for index in range(3)):
        await asyncio.sleep(0.05)
    mistaken = [world.job(2, pieces=3, vcpus=2.0, mistake=TROUBLE, run_s=2.0), world.job(3, pieces=3, mistake=TROUBLE, run_s=2.0)]
    await world.submit(mistaken[0], world.nodes[0])
    since = world.record.now()
    while len({start[1] for start in world.starts if start[2].startswith("req-000002/")}) < 3 and world.record.now() < since + 3.0:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    await world.submit(mistaken[1], world.nodes[0])
    while (await world.poll("req-000001", world.nodes[1]))[1]["status"] != "done":
        if world.record.now() > 40:
            raise RuntimeError("the ordinary job did not end")
        await asyncio.sleep(0.5)
    for job in mistaken:
        await world.cancel(job["name_id"], world.nodes[0])
    after = [world.job(200 + number, run_s=3.0, guess_s=3.0) for number in range(39)]
    await world.submit(after[0], world.nodes[0])
    waiting_since = world.record.now()
    await asyncio.gather(*(world.submit(job, world.nodes[number % 3]) for number, job in enumerate(after[1:])))
    while world.record.now() < waiting_since + WAIT_S + 1.0:
        empty = [w.name for w in world.cloud.machines.values()
                 if w.watch == 1 and all(task["status"] == "ended" for task in w.tasks.values())]
        if (await world.poll(after[0]["name_id"], world.nodes[1]))[1]["status"] == "done":
            return 0
        if not empty:
            waiting_since = world.record.now()     # no machine has room: the wait begins again
        await asyncio.sleep(2.0)
    waiting = [job["name_id"] for job in after if f"{job['name_id']}/0" not in world.done]
    world.record.line(f"{after[0]['name_id']} WAITED {world.record.now() - waiting_since:.0f} s, and {len(waiting) - 1} more jobs wait, while these "
                      f"machines, on which they fit, are empty and report: {', '.join(empty)}; no other job is left")
    return 1


standins.run(scenario, standins.World(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")))
