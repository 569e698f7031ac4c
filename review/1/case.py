"""A task is started on a second machine while the answer that starts it on the first one is on its way."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from world import TROUBLE, CannotRun, run  # noqa: E402

HOLD_S = 2.5
ROUNDS = 5
FLAVOR = {"sku": "bankside", "cores": 8, "cards": 0, "memGb": 32, "cacheGb": 100, "fetchGbPerS": 1.0, "price": 0.28,
          "lowPrice": 0.08, "startupS": 2, "yards": ["liguanea"]}
STATE = {"rps": 200.0, "write_rps": 40.0, "value_kb": 32.0, "txn_ops": 16}


async def case(make):
    world = make(FOLDER, teams=[("hydro-ops-00", 24.0, 40.0)], state=STATE, flavors=[FLAVOR],
                 capacity={("bankside", False): 1, ("bankside", True): 1})
    world.record("case", "TROUBLE=%d" % TROUBLE)
    await world.start()

    async def placed(job, machine=None, limit_s=40.0):
        def found():
            return next((place[0] for _, place in world.running(job) if machine in (None, place[0])), None)
        return await world.wait_for(found, limit_s, "%s does not run" % job)

    # The ordinary machine runs a service; an array task that takes all of the spot machine follows.
    service = world.job("hydro-ops-00", shape="daemon", cores=2.0)
    await world.submit(service)
    ordinary = await placed(service["id"])
    for number in range(ROUNDS):
        held = await play_round(world, ordinary, placed)
        if world.twice:
            return "ran_twice: " + world.twice[0]
        if held:
            world.record("case", "an answer with a start and a clear broke nothing")
            return None
    world.record("case", "no answer had both a start and a clear in %d rounds" % ROUNDS)
    return None


async def play_round(world, ordinary, placed):
    """Plays one round. Returns whether the start was sent in the answer to a report, beside a clear."""
    worker = world.workers[ordinary]
    # An array task that fills the spot machine, a small one and one to be cancelled on the ordinary machine.
    filler = world.job("hydro-ops-00", cores=8.0, loaners=True)
    await world.submit(filler)
    spot = await placed(filler["id"])
    if spot == ordinary:
        raise CannotRun("the filler runs on the ordinary machine")
    cancelled = world.job("hydro-ops-00", cores=2.0)
    await world.submit(cancelled)
    await placed(cancelled["id"], ordinary)
    small = world.job("hydro-ops-00", cores=2.0)
    await world.submit(small)
    await placed(small["id"], ordinary)
    await asyncio.sleep(2.5)

    # The small task ends and is reported. The next report goes out within 1.5 s plus a quarter.
    reported_at = worker.last_report_sent
    worker.next_interval = 1.85
    world.finish(ordinary, small["id"] + "/0")
    await world.wait_for(lambda: worker.last_report_sent > reported_at, 3.0, "no report")
    # Not before 1.5 s less a quarter, since nothing on the machine changes in between.
    await asyncio.sleep(worker.last_report_sent + 1.14 - time.monotonic())

    # A new task finds room on the ordinary machine only. The machine's report is due just after the start was logged.
    task = world.job("hydro-ops-00", cores=4.0, loaners=True)
    answered = asyncio.Event()
    held = []

    def on_applied(txn):
        if any("/starts/" in change.get("put", "") and task["id"] in str(change.get("v")) for change in txn["apply"]):
            world.record(ordinary, "the interval of the report ends")
            worker.changed()
            world.store.on_applied = None

    def answer_delay(report, reply):
        orders = reply.get("orders", [])
        if any(order["verb"] == "start" and order["chore"] == task["id"] + "/0" for order in orders):
            if any(order["verb"] == "clear" for order in orders):
                held.append(reply)
            worker.answer_delay = None
            answered.set()
            world.record(ordinary, "report %d under baton %d is answered under baton %d" % (
                report["tally"], report["baton"], reply["baton"]))
            return HOLD_S if TROUBLE else 0.0
        return 0.0

    world.store.on_applied, worker.answer_delay = on_applied, answer_delay
    await world.submit(task)
    try:
        await asyncio.wait_for(answered.wait(), 1.5)
    except asyncio.TimeoutError:
        pass
    worker.answer_delay = world.store.on_applied = worker.next_interval = None
    # The spot machine becomes free, and a user cancels a job whose task is on the ordinary machine.
    world.finish(spot, filler["id"] + "/0")
    await asyncio.sleep(0.7)
    await world.cancel(cancelled["id"])
    await asyncio.sleep(4.0)
    for machine in (ordinary, spot):
        world.finish(machine, task["id"] + "/0")
    await asyncio.sleep(1.0)
    return bool(held)


run(case)
