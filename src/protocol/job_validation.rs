//! Validation of submitted jobs. A job that fails it is answered with status 400.

use super::JobSpec;

/// Largest number of tasks in a job.
pub const TASK_LIMIT: u32 = 100_000;
/// Longest name of a class, team, image, machine type or zone, in bytes.
const NAME_LIMIT: usize = 200;
/// Largest amount of a resource, in its unit, and longest duration, in seconds.
const AMOUNT_LIMIT: f64 = 1e9;
/// Most machine types that a job may list.
const MACHINE_TYPES_LIMIT: usize = 64;
/// What every job id begins with; digits follow.
const JOB_ID_PREFIX: &str = "wk-";
/// Most digits in a job id.
const JOB_ID_DIGITS_LIMIT: usize = 20;

/// The field for which a submitted job is refused. Displayed by its name in the protocol, as the user wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJobSpec {
    /// The job id does not have the form of [`is_job_id`].
    #[error("id")]
    Id,
    /// The name of the class, the team or the image is empty or too long.
    #[error("lane, crew or bundle")]
    Name,
    /// There are no tasks, or more than [`TASK_LIMIT`].
    #[error("chores")]
    TaskCount,
    /// CPUs are not above 0, or too many.
    #[error("cores")]
    Cpus,
    /// Another resource or duration is negative, not finite or too large.
    #[error("an amount")]
    Amount,
    /// The deadline is negative, not finite or too far away.
    #[error("dueS")]
    Deadline,
    /// Too many machine types, or the name of one is empty or too long.
    #[error("breeds")]
    MachineTypes,
    /// The name of the zone is empty or too long.
    #[error("yard")]
    Zone,
}

impl JobSpec {
    /// Checks the values of all fields, in the order of the variants of [`InvalidJobSpec`].
    ///
    /// # Errors
    ///
    /// Names the first field that is invalid.
    pub fn validate(&self) -> Result<(), InvalidJobSpec> {
        ensure(is_job_id(&self.id), InvalidJobSpec::Id)?;
        let names = [&self.class, &self.team, &self.image];
        ensure(
            names.into_iter().all(|name| is_name(name)),
            InvalidJobSpec::Name,
        )?;
        let task_count = (1..=TASK_LIMIT).contains(&self.tasks);
        ensure(task_count, InvalidJobSpec::TaskCount)?;
        let cpus = is_amount(self.cpus) && self.cpus > 0.0;
        ensure(cpus, InvalidJobSpec::Cpus)?;
        ensure(self.amounts_are_valid(), InvalidJobSpec::Amount)?;
        let deadline = self.deadline_s.is_none_or(is_amount);
        ensure(deadline, InvalidJobSpec::Deadline)?;
        ensure(self.machine_types_are_valid(), InvalidJobSpec::MachineTypes)?;
        let zone = self.zone.as_deref().is_none_or(is_name);
        ensure(zone, InvalidJobSpec::Zone)
    }

    fn amounts_are_valid(&self) -> bool {
        let amounts = [
            self.gpus,
            self.memory_gb,
            self.image_gb,
            self.run_time_estimate_s,
            self.checkpoint_interval_s,
            self.checkpoint_save_s,
        ];
        amounts.into_iter().all(is_amount)
    }

    fn machine_types_are_valid(&self) -> bool {
        self.machine_types.as_ref().is_none_or(|types| {
            types.len() <= MACHINE_TYPES_LIMIT && types.iter().all(|name| is_name(name))
        })
    }
}

fn ensure(valid: bool, error: InvalidJobSpec) -> Result<(), InvalidJobSpec> {
    if valid {
        Ok(())
    } else {
        Err(error)
    }
}

/// Whether an amount is finite and within bounds.
fn is_amount(amount: f64) -> bool {
    amount.is_finite() && (0.0..=AMOUNT_LIMIT).contains(&amount)
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= NAME_LIMIT
}

/// Whether a job id has the form that all job ids have: `wk-` and up to 20 digits.
#[must_use]
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_ID_PREFIX).is_some_and(|digits| {
        (1..=JOB_ID_DIGITS_LIMIT).contains(&digits.len())
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}
