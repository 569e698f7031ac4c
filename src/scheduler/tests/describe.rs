//! A text form of the scheduler's state, printed by tests that fail.

use super::*;

impl Scheduler {
    /// Returns the state of machines, jobs, quotas and start log as text.
    #[must_use]
    pub fn describe(&self) -> String {
        let machine = |(i, machine): (MachineIndex, &Machine)| {
            format!(
                "machine {} {} {:?} zone {} token acknowledged {} acknowledged at {} lease renewed at {} direct in flight {} free {:?} tasks {:?} backoff until {}\n",
                i.position(),
                machine.name(),
                machine.state(),
                machine.zone().position(),
                machine.contact.acknowledges_token(),
                machine.contact.acknowledged_at().as_millis(),
                machine.lease.renewed_at().as_millis(),
                machine.commands.is_direct_in_flight(),
                machine.load.free(),
                machine.load.tasks(),
                machine.health.backoff_until().as_millis()
            )
        };
        let job = |job: &Job| {
            format!(
                "job {} final {} pending {} active by zone {:?} active {:?} retry at {} single zone {:?}\n",
                job.record.spec.id,
                job.is_final,
                job.pending(),
                job.active_by_zone,
                job.active,
                job.retry_at,
                job.record.spec.single_zone
            )
        };
        let machines: String = self.machines().map(machine).collect();
        let jobs: String = self.jobs().map(job).collect();
        format!(
            "now {} quotas {:?}\n{machines}{jobs}{:?}",
            self.now.as_millis(),
            self.quotas,
            self.start_log
        )
    }
}
