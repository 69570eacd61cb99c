"""Stand-ins for the cloud, the workers and the users, and the controllers as processes of the deploy file's command."""
import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import wire
from store import Store

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file, self.start = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()
        print(f"{self.now():8.3f} {text}", flush=True)


class Cloud:
    """A cloud whose capacity is used by the machines that are up: it grants no more than what is returned to it."""

    def __init__(self, world):
        self.world, self.record, self.types, self.machines, self.started = world, world.record, list(world.types), {}, time.monotonic()
        self.free, self.charters, self.last, self.boots = {}, {}, 0, []

    def add(self, build, zone):
        self.last += 1
        kind = next(t for t in self.types if t["name"] == build)
        worker = Worker(self.world, f"host-{self.last:06d}", build, zone, kind["vcpus"], kind["memory_gb"])
        self.machines[worker.name] = worker
        return worker

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.02)
        if path == "/machine_types":
            return 200, {"builds": self.types}
        if path == "/machines/return":
            self.record.line(f"cloud: return of {body['rigs']}")
            for name in body["rigs"]:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    worker.stop()
                    self.free[worker.build, worker.zone] = self.free.get((worker.build, worker.zone), 0) + 1
            return 200, {}
        if path == "/machines" and method == "POST":
            return self.rent(body)
        names = sorted(name for name in self.machines if name > query.get("after", ""))
        rigs = [{"name_id": n, "addr": "127.0.0.1:9", "build": self.machines[n].build, "yard": self.machines[n].zone, "loaners": False,
                 "status": "running" if self.machines[n].jobs else "starting",
                 "age_s": 300.0 + time.monotonic() - self.started} for n in names]
        return 200, {"rigs": rigs, "truncated": False}

    def rent(self, body):
        if body["charter"] in self.charters:
            return 200, {"rigs": self.charters[body["charter"]]}
        shape = body["build"], body["yard"]
        count = 0 if body["loaners"] else min(body["number"], self.free.get(shape, 0))
        self.record.line(f"cloud: request {body['charter']} for {body['number']} {shape}, spot {body['loaners']}: {count} granted")
        if count == 0:
            return 503, {"error": "no capacity"}
        self.free[shape] -= count
        workers = [self.add(*shape) for _ in range(count)]
        self.boots += [asyncio.create_task(self.boot(worker)) for worker in workers]
        self.charters[body["charter"]] = [worker.name for worker in workers]
        return 200, {"rigs": self.charters[body["charter"]]}

    async def boot(self, worker):
        await asyncio.sleep(next(t["startup_s"] for t in self.types if t["name"] == worker.build))
        if worker.name in self.machines:
            worker.start()


class Worker:
    """A worker that follows the protocol page: leases, sessions, tokens, commands and images."""

    def __init__(self, world, name, build, zone, cpus, memory_gb):
        self.world, self.name, self.build, self.zone, self.cpus, self.memory_gb = world, name, build, zone, cpus, memory_gb
        self.watch, self.tick, self.helm = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.renewed = time.monotonic()
        self.node = random.randrange(len(world.nodes))
        self.client = None
        self.sick = False          # fails every task that it starts
        self.due = asyncio.Event()
        self.jobs = []

    def start(self):
        self.renewed = time.monotonic()
        self.jobs = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.run_tasks())]

    def stop(self):
        for job in self.jobs:
            job.cancel()
        if self.client is not None:
            self.client.close()
        for key in list(self.tasks):
            self.world.on_gone(self, key)
        self.tasks.clear()

    def report(self):
        self.tick += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            item = {"piece": piece, "try": attempt, "status": task["status"]}
            if task["status"] == "ended":
                item["cause"] = task["cause"]
            pieces.append(item)
        return {"rig": self.name, "addr": "127.0.0.1:9", "build": self.build, "yard": self.zone, "loaners": False, "watch": self.watch,
                "tick": self.tick, "helm": self.helm, "recall_s": None, "pieces": pieces}

    async def report_loop(self):
        while True:
            sent, session = time.monotonic(), self.watch
            if self.client is None:
                self.client = wire.Client(self.world.nodes[self.node].port)
            status, answer = await self.client.call("POST", "/agent/beat", self.report(), 4.0)
            if status == 200:
                self.handle(answer, sent, session)
                await self.pause(sent)
                continue
            self.client.close()
            self.client = None
            bridge = (answer or {}).get("bridge") if status == 421 else None
            target = next((i for i, node in enumerate(self.world.nodes) if node.name == bridge), None)
            if target is None or target == self.node:
                await asyncio.sleep(1.0)
                self.node = (self.node + 1) % len(self.world.nodes)
            else:
                self.node = target
                await asyncio.sleep(random.uniform(0.0, 0.5))

    async def pause(self, sent):
        interval = self.world.report_s * random.uniform(0.75, 1.25)
        try:
            await asyncio.wait_for(self.due.wait(), max(0.0, sent + interval - time.monotonic()))
        except asyncio.TimeoutError:
            pass
        self.due.clear()
        await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))

    def handle(self, answer, sent, session):
        token = answer.get("helm")
        if session != self.watch or token is None or token < self.helm:
            return
        if token > self.helm:
            self.helm = token
            self.due.set()
        self.renewed = max(self.renewed, sent)
        for order in answer["orders"]:
            self.execute(order, sent)

    def execute(self, order, sent):
        key = (order["piece"], order["try"])
        self.world.record.line(f"{self.name}: {order['verb']} {key[0]} try {key[1]} with token {self.helm}")
        task = self.tasks.get(key)
        if order["verb"] == "start" and task is None:
            job = self.world.jobs.get(key[0].split("/")[0])
            cause = None
            if job is None:
                cause = "unknown"
            elif any(other[0] == key[0] and t["status"] != "ended" for other, t in self.tasks.items()):
                cause = "busy"
            elif not self.has_room(job):
                cause = "no_room"
            if cause is not None:
                self.tasks[key] = {"status": "ended", "cause": cause}
            else:
                ready = time.monotonic() + (0.0 if job["bundle"] in self.images else 0.5)
                self.tasks[key] = {"status": "fetching", "job": job, "ready": ready}
                self.world.on_start(self, key, sent)
            self.due.set()
        elif order["verb"] == "halt" and task is not None and task["status"] != "ended":
            self.end(key, "halted")
        elif order["verb"] == "clear" and task is not None and task["status"] == "ended":
            del self.tasks[key]

    def has_room(self, job):
        used = [t["job"] for t in self.tasks.values() if t["status"] != "ended"]
        return (sum(j["vcpus"] for j in used) + job["vcpus"] <= self.cpus + 1e-6
                and sum(j["memory_gb"] for j in used) + job["memory_gb"] <= self.memory_gb + 1e-6)

    def end(self, key, cause):
        self.tasks[key].update(status="ended", cause=cause)
        self.world.on_gone(self, key)
        self.world.record.line(f"{self.name}: {key[0]} try {key[1]} exits: {cause}")
        self.due.set()

    async def run_tasks(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.renewed > self.world.lease_s:
                self.world.record.line(f"{self.name}: lease expired, {len(self.tasks)} tasks killed, session {self.watch + 1}")
                for key, task in self.tasks.items():
                    if task["status"] != "ended":
                        self.world.on_gone(self, key)
                self.tasks.clear()
                self.watch, self.renewed = self.watch + 1, now
                self.due.set()
            for key, task in list(self.tasks.items()):
                if task["status"] == "fetching" and now >= task["ready"]:
                    self.images.add(task["job"]["bundle"])
                    if self.sick or task["job"].get("mistake"):
                        self.end(key, "error")
                    elif key[0] in self.world.done:
                        self.end(key, "done")
                    else:
                        task.update(status="running", until=now + task["job"]["run_s"])
                        self.world.record.line(f"{self.name}: {key[0]} try {key[1]} runs")
                        self.due.set()
                elif task["status"] == "running" and now >= task["until"]:
                    self.world.done.add(key[0])
                    self.end(key, "done")


class Node:
    """A controller as a process of its own."""

    def __init__(self, world, index):
        self.world, self.index, self.name = world, index, f"mast-{index}"
        self.port, self.peer_port, self.store_port, self.cloud_port = (free_port() for _ in range(4))
        self.process = None

    @property
    def config(self):
        return os.path.join(self.world.folder, f"{self.name}.toml")

    def start(self):
        with open(self.config, "w") as file:
            file.write(self.world.settings(self))
        with open(os.path.join(REPOSITORY, "deploy", "service.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["run"]) + [self.config]
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.process = subprocess.Popen(command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment,
                                        preexec_fn=self.world.preexec)
        self.world.record.line(f"{self.name}: process {self.process.pid} started")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record.line(f"{self.name}: {signal.Signals(number).name}")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """Controllers with the settings of apcp-linemast-ops, and everything around them."""
    report_s, lease_s, cancel_s = 1.0, 11.0, 36.0
    fd_limit = 600
    zones = ("cluj", "bucuresti")
    state = {"rps": 100.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16}
    cloud_limits = {"rps": 6.0, "list_lag_s": 6.0}
    preexec = None
    teams = (("brasov-kitchens", 104.0, 320.0), ("iasi-packers", 136.0, 320.0))
    types = (
        {"name": "mic-8", "vcpus": 8.0, "gpus": 0.0, "memory_gb": 32.0, "local_gb": 40.0, "fetch_gb_per_s": 0.8, "price": 0.37,
         "market_price": 0.11, "startup_s": 25.0, "yards": ["cluj", "bucuresti"]},
        {"name": "mare-32", "vcpus": 32.0, "gpus": 0.0, "memory_gb": 64.0, "local_gb": 40.0, "fetch_gb_per_s": 0.8, "price": 1.3,
         "market_price": 0.33, "startup_s": 30.0, "yards": ["cluj", "bucuresti"]},
    )

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="linemast-review-")
        self.store = Store()
        self.cloud = Cloud(self)
        self.nodes = []
        self.nodes = [Node(self, i) for i in range(3)]
        self.jobs = {}             # what users have uploaded, by id
        self.done = set()
        self.on_machine = {}       # task -> set of machines
        self.starts = []           # (seconds at which the report was sent whose answer held the start, machine, task, attempt)
        self.running = []

    def settings(self, node):
        def table(values):
            return "".join(f"{name} = {value}\n" for name, value in values.items())
        members = "".join(f'[[members]]\nnode_name = "{n.name}"\ndomain = "{self.zones[0]}"\npeer_addr = "127.0.0.1:{n.peer_port}"\n\n'
                          for n in self.nodes if n is not node)
        teams = "".join(f'[[settings.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {most}\ngpus = 0.0\ngpus_max = 0.0\n\n'
                        for name, cpus, most in self.teams)
        zones = ", ".join(f'"{zone}"' for zone in self.zones)
        workers = {"report_s": self.report_s, "lease_s": self.lease_s, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": self.cancel_s}
        return (f'node_name = "{node.name}"\ndomain = "{self.zones[0]}"\nserve_on = "127.0.0.1:{node.port}"\n'
                f'peer_listen = "127.0.0.1:{node.peer_port}"\n\n{members}'
                f'[external]\ncloud = "127.0.0.1:{node.cloud_port}"\nstate = "127.0.0.1:{node.store_port}"\n\n'
                f'[settings]\ninitial_size = 3\nzones = [{zones}]\nclock_off_ms = 250.0\n\n{teams}'
                f'[settings.workers]\n{table(workers)}\n[settings.state]\n{table(self.state)}\n'
                f'[settings.cloud]\n{table(self.cloud_limits)}\n'
                f'[settings.limits]\ncpu_share = 0.085\nmem_mb = 153.0\nfd_limit = {self.fd_limit}\n')

    async def start(self, machines):
        for node in self.nodes:
            await self.store.serve(node.name, node.store_port)
            await wire.serve(node.cloud_port, self.cloud.handle)
            node.start()
        self.running.append(asyncio.create_task(self.store.run()))
        for build, zone in machines:
            self.cloud.add(build, zone).start()
        while await self.healthy() < len(self.nodes):
            await asyncio.sleep(0.2)
        while self.leader() is None:
            await asyncio.sleep(0.1)
        self.record.line(f"all controllers healthy, {self.leader().name} leads")

    async def healthy(self):
        answers = await asyncio.gather(*(wire.call_once(n.port, "GET", "/healthz", None, 1.0) for n in self.nodes))
        return sum(status == 200 for status, _ in answers)

    def leader(self):
        entry = self.store.entries.get("leader")
        return next((n for n in self.nodes if entry is not None and n.name == entry[0].get("node")), None)

    def worker(self, name):
        return self.cloud.machines.get(name)

    def runs(self, piece):
        return any(key[0] == piece and task["status"] == "running" for w in self.cloud.machines.values() for key, task in w.tasks.items())

    def on_start(self, worker, key, sent):
        others = [name for name in self.on_machine.get(key[0], set()) if name != worker.name]
        self.on_machine.setdefault(key[0], set()).add(worker.name)
        self.starts.append((sent - self.record.start, worker.name, key[0], key[1]))
        self.record.line(f"{worker.name}: {key[0]} try {key[1]} starts" + (f" WHILE ON {others}" if others else ""))

    def on_gone(self, worker, key):
        self.on_machine.get(key[0], set()).discard(worker.name)

    def job(self, number, **fields):
        job = {"name_id": f"req-{number:06d}", "lane": "price-pull", "crew": self.teams[0][0], "shape": "sweep", "urgency": "normal",
               "pieces": 1, "vcpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "bundle": "img-01", "pull_gb": 0.4, "builds": None, "yard": None,
               "same_place": False, "apart": False, "loaners": False, "guess_s": 10.0, "mark_every_s": 0.0, "mark_s": 0.0, "due_s": None,
               "run_s": 10.0}
        job.update(fields)
        return job

    async def submit(self, job, node):
        self.jobs[job["name_id"]] = job
        body = {name: value for name, value in job.items() if name not in ("run_s", "mistake")}
        while True:
            status, answer = await wire.call_once(node.port, "POST", "/v1/jobs", body, 5.0)
            self.record.line(f"user: submits {job['name_id']} to {node.name}: {status} {answer}")
            if status in (200, 201):
                return answer
            await asyncio.sleep(1.0)

    async def poll(self, job_id, node):
        status, answer = await wire.call_once(node.port, "GET", f"/v1/jobs/{job_id}", None, 2.0)
        self.record.line(f"user: asks {node.name} about {job_id}: {status} {answer}")
        return status, answer

    async def cancel(self, job_id, node):
        while True:
            status, answer = await wire.call_once(node.port, "POST", f"/v1/jobs/{job_id}/cancel", {}, 5.0)
            self.record.line(f"user: cancels {job_id} at {node.name}: {status} {answer}")
            if status == 200:
                return answer
            await asyncio.sleep(1.0)

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
            node.kill()
        for task in self.running:
            task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(scenario, world, limit_s=116.0):
    """Runs scenario(world) and exits with its code, or with 2 if the case could not run; ends all processes that it started."""
    async def bounded():
        try:
            code = await asyncio.wait_for(scenario(world), limit_s)
        except Exception as e:
            world.record.line(f"the case could not run: {type(e).__name__}: {e}")
            code = 2
        world.stop()
        world.record.line(f"exit {code}")
        os._exit(code)
    asyncio.run(bounded())
