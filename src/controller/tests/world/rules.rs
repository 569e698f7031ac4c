//! The rules, checked after each step, and what has to be true in the end.

use super::*;

/// A lease, the silence before a release, the waits that PROTOCOL allows, twice.
const SETTLING_MS: u64 = 200_000;

impl World {
    /// A task starts on a machine.
    pub(super) fn began(&mut self, name: &str, task: &str) {
        let elsewhere: Vec<String> = self
            .on_machines()
            .filter(|(m, t, _)| *t == task && *m != name)
            .map(|(m, ..)| m.to_string())
            .collect();
        if !elsewhere.is_empty() {
            self.breaks(format!(
                "ran_twice: {task} starts on {name}, is on {elsewhere:?}"
            ));
        }
        let (id, _) = split_task(task).unwrap();
        let job = &self.jobs[id];
        if job
            .spec
            .zone
            .as_ref()
            .is_some_and(|z| *z != self.workers[name].zone)
        {
            self.breaks(format!("wrong_place: {task} on {name}"));
        }
        if self.jobs[id].spec.scatter || self.jobs[id].spec.together {
            let zones = self
                .on_machines()
                .filter(|(_, t, _)| split_task(t).is_some_and(|(j, _)| j == id));
            let mut by_zone: HashMap<String, u32> = HashMap::new();
            zones.for_each(|(_, _, z)| *by_zone.entry(z.into()).or_default() += 1);
            let spec = &self.jobs[id].spec;
            let scattered = !spec.scatter || by_zone.values().all(|n| *n <= spec.tasks.div_ceil(2));
            if !scattered || (spec.together && by_zone.len() > 1) {
                self.breaks(format!("wrong_place: {task}, {by_zone:?}"));
            }
        }
    }

    pub(super) fn check(&mut self) {
        let now = self.now();
        let mut use_of = 0.0;
        let mut late = Vec::new();
        for (machine, task, _) in self.on_machines() {
            let job = &self.jobs[split_task(task).unwrap().0];
            use_of += job.spec.cpus;
            if job.told.is_some_and(|t| now > t + 42_000) {
                late.push(format!("ran_cancelled: {task} on {machine}"));
            }
        }
        late.into_iter().for_each(|l| self.breaks(l));
        if self.limit.is_some_and(|l| use_of > l + 1e-9) {
            self.breaks(format!("quota: {use_of}"));
        }
    }

    pub(super) fn breaks(&mut self, what: String) {
        let at = self.now();
        self.broken.push(format!("{at}: {what}"));
    }

    pub(super) fn on_machines(&self) -> impl Iterator<Item = (&str, &str, &str)> {
        let live = |s: TaskState| matches!(s, TaskState::Running | TaskState::Saving);
        self.workers.iter().flat_map(move |(name, w)| {
            let tasks = w.tasks.iter().filter(move |(_, t)| live(t.state));
            tasks.map(move |((task, _), _)| (name.as_str(), task.as_str(), w.zone.as_str()))
        })
    }

    /// Tasks of a job that run.
    pub(crate) fn running(&self, id: &str) -> usize {
        self.on_machines()
            .filter(|(_, task, _)| split_task(task).is_some_and(|(j, _)| j == id))
            .count()
    }

    /// Machines on which a job runs.
    pub(crate) fn machines_of(&self, id: &str) -> Vec<String> {
        let of = |t: &str| split_task(t).is_some_and(|(j, _)| j == id);
        let mut out: Vec<String> = self
            .on_machines()
            .filter(|(_, t, _)| of(t))
            .map(|(m, ..)| m.to_string())
            .collect();
        out.dedup();
        out
    }

    /// How long the rest of all work may take once all troubles are over: what is left of it, on the places that the team's
    /// limit or the machines give beside services, and as long as silence, leases, displaced work and waits may cost.
    pub(crate) fn time_for_the_rest(&self) -> u64 {
        let (mut rest_ms, mut longest_ms, mut services) = (0, 0, 0);
        for job in self.jobs.values().filter(|j| !j.asked) {
            if job.spec.kind == Kind::Service {
                services += u64::from(job.spec.tasks);
                continue;
            }
            for task in (0..job.spec.tasks).filter(|t| !job.done.contains(t)) {
                let run_ms = job.run_ms + job.apart_ms * u64::from(task) + self.fetch_ms;
                rest_ms += run_ms;
                longest_ms = longest_ms.max(run_ms);
            }
        }
        let places = (self.machines_wanted * 4) as u64;
        let allowed = self
            .limit
            .map_or(places, |cpus| places.min((cpus / 2.0) as u64));
        rest_ms / allowed.saturating_sub(services).max(1) + 2 * longest_ms + SETTLING_MS
    }

    /// Once all troubles are over: everything is done, runs, or was called off, and is known.
    pub(crate) fn settles(&mut self, within: u64) {
        let until = self.now() + within;
        loop {
            let open: Vec<String> = self.unsettled();
            if open.is_empty() {
                return;
            }
            if self.now() > until {
                let roles: Vec<Option<Role>> = self
                    .nodes
                    .iter()
                    .map(|n| n.controller.as_ref().map(|c| c.leadership().role().clone()))
                    .collect();
                let machines: Vec<String> = self
                    .workers
                    .iter()
                    .map(|(n, w)| {
                        let tasks: Vec<_> = w
                            .tasks
                            .iter()
                            .map(|(k, t)| (k.0.as_str(), k.1, t.state, t.reason))
                            .collect();
                        format!(
                            "{n} {} session {} token {:x} node {} {tasks:?}",
                            w.zone, w.session, w.token, w.node
                        )
                    })
                    .collect();
                self.breaks(format!("not settled: {open:?}, {roles:?}, {machines:#?}"));
                if let Some(c) = self
                    .leader()
                    .and_then(|l| self.nodes[l].controller.as_ref())
                {
                    eprintln!("{}", c.scheduler.as_ref().unwrap().describe());
                }
                return;
            }
            self.step();
        }
    }

    pub(super) fn unsettled(&self) -> Vec<String> {
        let open = |(id, j): (&String, &Truth)| {
            let live = self.service.keys.contains_key(&store::live_key(id));
            let settled = match (self.over(id), j.spec.kind) {
                (Some(over), _) => !over.cancelled || self.running(id) == 0,
                (None, Kind::Service) => live && self.running(id) as u32 == j.spec.tasks,
                _ => false,
            };
            (!settled).then(|| {
                format!(
                    "{id} live={live} running={} done={}",
                    self.running(id),
                    j.done.len()
                )
            })
        };
        self.jobs.iter().filter_map(open).collect()
    }
}
