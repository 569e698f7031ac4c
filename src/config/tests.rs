//! Tests for both settings files.

use super::*;

pub(crate) const PLATFORM_TOML: &str = r#"
node = "drover-0"
zone = "z"
api_addr = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
surprise = 3
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
initial_size = 1
[[deployment.teams]]
name = "t"
cpus = 8.0
cpus_max = 16.0
[deployment.workers]
report_s = 1.5
lease_s = 12.0
cancel_s = 42.0
[deployment.state]
rps = 200.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 16
[deployment.cloud]
rps = 3.0
list_lag_s = 10.0
[deployment.machine_limits]
max_connections = 100
"#;

pub(crate) fn settings() -> Settings {
    Settings {
        platform: toml::from_str(PLATFORM_TOML).unwrap(),
        operator: OperatorSettings::default(),
    }
}

#[test]
fn unknown_fields_are_accepted_only_in_the_platform_file() {
    let path = Path::new("x.toml");
    assert!(settings().validate(path, path).is_ok());
    assert!(toml::from_str::<OperatorSettings>("group_factr = 2").is_err());
}

#[test]
fn an_invalid_value_is_reported_with_its_field() {
    let mut s = settings();
    s.platform.deployment.workers.cancel_s = 5.0;
    let e = s
        .validate(Path::new("p.toml"), Path::new("o.toml"))
        .unwrap_err()
        .to_string();
    assert!(e.contains("deployment.workers.cancel_s"), "{e}");
    assert!(Settings::load(Path::new("/nonexistent"), None).is_err());
}

#[test]
fn cancelled_tasks_are_gone_within_cancel_s_despite_the_grace_period() {
    let s = settings();
    let w = &s.platform.deployment.workers;
    assert!(
        s.operator.leader_lease_s + s.grace_period().as_secs_f64() + w.lease_s + 2.0 * w.report_s
            < w.cancel_s
    );
    // A longer leader lease shortens the grace period, so that tasks are still gone within `cancel_s`.
    let mut long_lease = settings();
    long_lease.operator.leader_lease_s = 20.0;
    let w = &long_lease.platform.deployment.workers;
    assert!(
        long_lease.operator.leader_lease_s + long_lease.grace_period().as_secs_f64() + w.lease_s
            <= w.cancel_s
    );
    assert!(long_lease.grace_period() < s.grace_period());
}

#[test]
fn connections_are_limited_by_sockets_and_memory() {
    let limits = |ram_mb, max_connections| {
        MachineLimits {
            ram_mb,
            max_connections,
        }
        .max_server_connections()
    };
    assert_eq!(limits(None, 1000), 850);
    assert_eq!(limits(Some(46.0), 1000), 850);
    // Memory is the tighter limit.
    assert!(limits(Some(46.0), 10_000) < 46 * 1024 / 26);
    assert_eq!(limits(Some(0.0), 1000), 8);
}

#[test]
fn announced_limits_of_the_state_service_are_read_and_checked() {
    let with_next = |next: &str| {
        let text = PLATFORM_TOML.replace(
            "[deployment.cloud]",
            &format!("[deployment.state.next]\n{next}\n[deployment.cloud]"),
        );
        Settings {
            platform: toml::from_str(&text).unwrap(),
            operator: OperatorSettings::default(),
        }
    };
    let validate = |settings: &Settings| settings.validate(Path::new("p"), Path::new("o"));
    let complete = with_next("rps = 200.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 5");
    assert!(validate(&complete).is_ok());
    let lowest = complete.platform.deployment.state.lowest();
    assert_eq!((lowest.rps, lowest.write_rps), (200.0, 28.0));
    assert_eq!((lowest.value_kb, lowest.txn_ops), (2.0, 5));
    assert!(validate(&with_next("value_kb = 2.0\nsurprise = 1")).is_ok());
    for (next, field) in [
        ("txn_ops = 2", "deployment.state.next.txn_ops"),
        ("value_kb = 0.0", "deployment.state.next.value_kb"),
        ("write_rps = -1.0", "deployment.state.next.write_rps"),
    ] {
        let error = validate(&with_next(next)).unwrap_err().to_string();
        assert!(error.contains(field), "{error}");
    }
}
