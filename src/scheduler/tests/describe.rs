//! The state of a scheduler as text, for tests that fail.

use super::*;

impl Scheduler {
    /// What a test wants to see of a scheduler that does not do what it should.
    #[must_use]
    pub fn describe(&self) -> String {
        let machine = |(i, m): (MachineIndex, &Machine)| {
            format!(
                "{} {} {:?} zone {} current {} heard {} answer {} direct {} room {:?} tasks {:?} before {}\n",
                i.position(),
                m.name(),
                m.state(),
                m.zone().position(),
                m.contact.acknowledges_token(),
                m.contact.acknowledged_at().as_millis(),
                m.lease.renewed_at().as_millis(),
                m.commands.is_direct_in_flight(),
                m.load.free(),
                m.load.tasks(),
                m.health.backoff_until().as_millis()
            )
        };
        let job = |j: &Job| {
            format!(
                "{} ended {} pending {} zones {:?} active {:?} before {} turn {:?}\n",
                j.record.spec.id,
                j.cancelled,
                j.pending(),
                j.active_by_zone,
                j.active,
                j.retry_at,
                j.record.spec.single_zone
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
