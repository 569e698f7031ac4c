//! The seeds that are played.

use crate::options::{variable, Options};
use crate::run::{play, Report};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Number of seeds that are played at the same time by hand.
const SEEDS_AT_ONCE: u64 = 3;

/// Plays a seed and fails with everything that is needed to see the failure again.
fn play_seed(seed: u64) {
    let report =
        play(Options::for_seed(seed)).expect("the stand-ins and controllers can be started");
    println!("seed {seed}: {}", report.summary);
    assert!(report.violations.is_empty(), "{}", report.description());
    remove_logs(&report);
}

/// Removes the logs of a run without failures, unless they shall be kept.
fn remove_logs(report: &Report) {
    if variable::<u8>("SOAK_KEEP_LOGS").is_some() {
        println!("logs: {}", report.logs.display());
        return;
    }
    // Logs that remain do no harm.
    let _ = std::fs::remove_dir_all(&report.logs);
}

#[test]
fn no_rule_is_broken_with_seed_2() {
    play_seed(2);
}

#[test]
fn no_rule_is_broken_with_seed_3() {
    play_seed(3);
}

#[test]
fn no_rule_is_broken_with_seed_5() {
    play_seed(5);
}

#[test]
fn no_rule_is_broken_with_seed_7() {
    play_seed(7);
}

/// Plays the seeds from `SOAK_FROM` on, `SOAK_SEEDS` of them, and reports all failures.
#[test]
#[ignore = "takes a minute for every three seeds"]
fn many_seeds() {
    let from: u64 = variable("SOAK_FROM").unwrap_or(1000);
    let count: u64 = variable("SOAK_SEEDS").unwrap_or(10);
    let next = AtomicU64::new(from);
    let failures: Mutex<Vec<String>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..variable("SOAK_AT_ONCE").unwrap_or(SEEDS_AT_ONCE) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                let report = play(Options::for_seed(seed)).expect("the run can be started");
                println!(
                    "seed {seed}: {} rules broken; {}",
                    report.violations.len(),
                    report.summary
                );
                if report.violations.is_empty() {
                    remove_logs(&report);
                } else {
                    println!("{}", report.description());
                    failures
                        .lock()
                        .expect("no thread panics")
                        .push(report.description());
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no thread panics");
    assert!(
        failures.is_empty(),
        "{} of {count} seeds failed",
        failures.len()
    );
}
