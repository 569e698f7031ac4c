//! The keys and values of the platform's and the operators' settings file, and the deploy file.

use hollowswitch::config::{OperatorSettings, Settings};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A platform settings file with every key, also those that the program ignores. The values that it reads are distinct, so that
/// a field read from the wrong key fails a test.
const PLATFORM: &str = r#"
node = "drover-0"
zone = "liguanea"
api_addr = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"

[[peers]]
node = "drover-1"
zone = "liguanea"
peer_addr = "10.0.0.2:8081"

[[peers]]
node = "drover-2"
zone = "mona"
peer_addr = "10.0.0.3:8082"

[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[deployment]
initial_size = 3
zones = ["liguanea"]
clock_error_ms = 5.0

[[deployment.teams]]
name = "hydro-ops-00"
cpus = 24.0
cpus_max = 40.0
gpus = 2.0
gpus_max = 4.0

[[deployment.teams]]
name = "hydro-ops-01"

[[deployment.objectives]]
kind = "wait"
class = "gauge-feed"
within_s = 60.0
share = 0.9

[[deployment.objectives]]
kind = "guarantee"

[deployment.workers]
report_s = 1.5
lease_s = 12.0
gang_wait_s = 40.0
gang_peer_s = 4.5
cancel_s = 42.0

[deployment.state]
rps = 200.0
write_rps = 41.0
value_kb = 32.0
txn_ops = 16

[deployment.cloud]
rps = 3.0
list_lag_s = 10.0

[deployment.machine_limits]
core_share = 0.12
ram_mb = 72.0
max_connections = 1000
"#;

/// An operator settings file with every key. No value is the default.
const OPERATOR: &str = r"
group_factor = 1.5
fetch_gb_per_s = 0.2
transfer_test = false
direct_starts = false
idle_return_s = 30.0
hold_s = 3.5
";

/// Writes a settings file into a new folder, so that tests that run in parallel do not overwrite each other's files.
fn write_settings_file(name: &str, text: &str) -> PathBuf {
    static NEXT_FOLDER: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{number}"));
    std::fs::create_dir_all(&folder).expect("a folder for tests");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a settings file");
    path
}

/// Loads the settings from files with these texts. Returns the text of the error if they are invalid.
fn load(platform: &str, operator: Option<&str>) -> Result<Settings, String> {
    let platform = write_settings_file("platform.toml", platform);
    let operator = operator.map(|text| write_settings_file("operator.toml", text));
    Settings::load(&platform, operator.as_deref()).map_err(|error| error.to_string())
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn every_key_of_the_platform_file_is_read() {
    let platform = load(PLATFORM, None).unwrap().platform;
    assert_eq!(platform.node, "drover-0");
    assert_eq!(platform.zone, "liguanea");
    assert_eq!(platform.api_addr, address("10.0.0.1:8080"));
    assert_eq!(platform.internal_addr, address("10.0.0.1:8081"));
    let peers: Vec<_> = platform
        .peers
        .iter()
        .map(|peer| (peer.node.as_str(), peer.peer_addr))
        .collect();
    assert_eq!(
        peers,
        [
            ("drover-1", address("10.0.0.2:8081")),
            ("drover-2", address("10.0.0.3:8082"))
        ]
    );
    assert_eq!(platform.external.cloud, address("10.2.0.2:8443"));
    assert_eq!(platform.external.state, address("10.2.0.1:2379"));
}

#[test]
fn every_key_of_teams_and_objectives_is_read() {
    let deployment = load(PLATFORM, None).unwrap().platform.deployment;
    let teams: Vec<_> = deployment
        .teams
        .iter()
        .map(|t| (t.name.as_str(), t.cpus, t.cpus_max, t.gpus, t.gpus_max))
        .collect();
    assert_eq!(
        teams,
        [
            ("hydro-ops-00", 24.0, 40.0, 2.0, 4.0),
            ("hydro-ops-01", 0.0, 0.0, 0.0, 0.0)
        ]
    );
    let objectives: Vec<_> = deployment
        .objectives
        .iter()
        .map(|o| (o.kind.as_str(), o.class.as_deref(), o.within_s))
        .collect();
    assert_eq!(
        objectives,
        [
            ("wait", Some("gauge-feed"), Some(60.0)),
            ("guarantee", None, None)
        ]
    );
}

#[test]
fn every_key_of_the_deployment_limits_is_read() {
    let deployment = load(PLATFORM, None).unwrap().platform.deployment;
    assert_eq!(deployment.workers.report_s, 1.5);
    assert_eq!(deployment.workers.lease_s, 12.0);
    assert_eq!(deployment.workers.cancel_s, 42.0);
    assert_eq!(deployment.state.rps, 200.0);
    assert_eq!(deployment.state.write_rps, 41.0);
    assert_eq!(deployment.state.value_kb, 32.0);
    assert_eq!(deployment.state.txn_ops, 16);
    assert_eq!(deployment.cloud.rps, 3.0);
    assert_eq!(deployment.cloud.list_lag_s, 10.0);
    assert_eq!(deployment.machine_limits.ram_mb, Some(72.0));
    assert_eq!(deployment.machine_limits.max_connections, 1000);
}

/// Returns a text without the lines that begin with `prefix`. Panics if there are none.
fn without_lines(text: &str, prefix: &str) -> String {
    let kept: Vec<_> = text
        .lines()
        .filter(|line| !line.starts_with(prefix))
        .collect();
    assert!(kept.len() < text.lines().count(), "{prefix} is in the file");
    kept.join("\n")
}

#[test]
fn announced_limits_of_the_state_service_are_read() {
    let announced =
        "[deployment.state.next]\nrps = 190.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 5\n";
    let next = |text: &str| {
        let platform = PLATFORM.replace("[deployment.cloud]", &format!("{text}[deployment.cloud]"));
        let settings = load(&platform, None).expect("valid settings");
        settings.platform.deployment.state.next
    };
    let complete = next(announced).expect("limits are announced");
    assert_eq!(
        (complete.rps, complete.write_rps, complete.value_kb),
        (Some(190.0), Some(28.0), Some(2.0))
    );
    assert_eq!(complete.txn_ops, Some(5));
    assert!(next("").is_none());
    let partial = next("[deployment.state.next]\nvalue_kb = 2.0\n").expect("a limit");
    assert_eq!((partial.rps, partial.txn_ops), (None, None));
}

#[test]
fn optional_keys_of_the_platform_file_have_defaults() {
    let text = without_lines(PLATFORM, "ram_mb");
    let limits = load(&text, None)
        .unwrap()
        .platform
        .deployment
        .machine_limits;
    assert_eq!(limits.ram_mb, None);
    let start = PLATFORM.find("[[peers]]").unwrap();
    let end = PLATFORM.find("[external]").unwrap();
    let without_peers = format!("{}{}", &PLATFORM[..start], &PLATFORM[end..]);
    assert!(load(&without_peers, None)
        .unwrap()
        .platform
        .peers
        .is_empty());
    let start = PLATFORM.find("[[deployment.teams]]").unwrap();
    let end = PLATFORM.find("[deployment.workers]").unwrap();
    let without_teams = format!("{}{}", &PLATFORM[..start], &PLATFORM[end..]);
    let deployment = load(&without_teams, None).unwrap().platform.deployment;
    assert!(deployment.teams.is_empty() && deployment.objectives.is_empty());
}

#[test]
fn the_error_for_a_missing_platform_key_names_the_file_and_the_key() {
    for key in [
        "node",
        "zone",
        "api_addr",
        "internal_addr",
        "peer_addr",
        "cloud",
        "state",
        "name",
        "kind",
        "report_s",
        "lease_s",
        "cancel_s",
        "rps",
        "write_rps",
        "value_kb",
        "txn_ops",
        "list_lag_s",
        "max_connections",
    ] {
        let error = load(&without_lines(PLATFORM, &format!("{key} =")), None).unwrap_err();
        assert!(error.contains("platform.toml"), "{error}");
        assert!(error.contains(&format!("missing field `{key}`")), "{error}");
    }
    for section in ["external", "workers", "cloud", "machine_limits"] {
        let text = PLATFORM
            .replace(&format!("[{section}]"), "[other]")
            .replace(&format!("[deployment.{section}]"), "[other]");
        let error = load(&text, None).unwrap_err();
        assert!(
            error.contains(&format!("missing field `{section}`")),
            "{error}"
        );
    }
}

#[test]
fn unknown_keys_of_the_platform_file_are_ignored() {
    let text = PLATFORM.replace("[external]", "[external]\nweather = \"dry\"");
    assert!(load(&format!("surprise = 3\n{text}"), None).is_ok());
}

#[test]
fn every_key_of_the_operator_file_is_read() {
    let operator = load(PLATFORM, Some(OPERATOR)).unwrap().operator;
    assert_eq!(operator.group_factor, 1.5);
    assert_eq!(operator.fetch_gb_per_s, 0.2);
    assert!(!operator.transfer_test);
    assert!(!operator.direct_starts);
    assert_eq!(operator.idle_timeout_s, 30.0);
    assert_eq!(operator.leader_lease_s, 3.5);
}

fn assert_defaults(operator: &OperatorSettings) {
    assert_eq!(operator.group_factor, 1.25);
    assert_eq!(operator.fetch_gb_per_s, 0.1);
    assert!(operator.transfer_test);
    assert!(operator.direct_starts);
    assert_eq!(operator.idle_timeout_s, 45.0);
    assert_eq!(operator.leader_lease_s, 2.5);
}

#[test]
fn every_key_of_the_operator_file_has_a_default() {
    assert_defaults(&load(PLATFORM, None).unwrap().operator);
    assert_defaults(&load(PLATFORM, Some("")).unwrap().operator);
    let operator = load(PLATFORM, Some("hold_s = 3.0")).unwrap().operator;
    assert_eq!(
        (operator.leader_lease_s, operator.group_factor),
        (3.0, 1.25)
    );
}

#[test]
fn the_error_for_an_unknown_operator_key_names_the_file_and_the_key() {
    for line in ["group_factr = 2.0", "node = \"x\"", "[deployment]"] {
        let error = load(PLATFORM, Some(line)).unwrap_err();
        let key = line
            .split([' ', '='])
            .next()
            .unwrap()
            .trim_matches(['[', ']']);
        assert!(error.contains("operator.toml"), "{error}");
        assert!(error.contains(&format!("unknown field `{key}`")), "{error}");
    }
}

/// Asserts that [`PLATFORM`] with `from` replaced by `to` is rejected with this reason.
fn assert_rejected(from: &str, to: &str, reason: &str) {
    assert!(PLATFORM.contains(from), "{from}");
    let error = load(&PLATFORM.replacen(from, to, 1), None).expect_err("refused");
    let expected = format!("platform.toml: {reason}");
    assert!(error.ends_with(&expected), "{error}");
}

#[test]
fn the_error_for_a_platform_limit_not_above_0_names_the_file_and_the_key() {
    for (from, to, field) in [
        ("report_s = 1.5", "report_s = 0.0", "workers.report_s"),
        ("lease_s = 12.0", "lease_s = -1.0", "workers.lease_s"),
        ("cancel_s = 42.0", "cancel_s = nan", "workers.cancel_s"),
        ("rps = 200.0", "rps = 0.0", "state.rps"),
        ("write_rps = 41.0", "write_rps = inf", "state.write_rps"),
        ("value_kb = 32.0", "value_kb = 0.0", "state.value_kb"),
        ("rps = 3.0", "rps = -3.0", "cloud.rps"),
    ] {
        let reason = format!("`deployment.{field}` must be a number above 0");
        assert_rejected(from, to, &reason);
    }
}

#[test]
fn the_error_for_an_invalid_platform_value_names_the_file_and_the_key() {
    assert_rejected(
        "txn_ops = 16",
        "txn_ops = 3",
        "`deployment.state.txn_ops` must be at least 4",
    );
    assert_rejected(
        "lease_s = 12.0",
        "lease_s = 1.5",
        "`deployment.workers.lease_s` must exceed report_s",
    );
    assert_rejected(
        "cancel_s = 42.0",
        "cancel_s = 12.0",
        "`deployment.workers.cancel_s` must exceed lease_s",
    );
    let reason = "`peers` contains this node";
    assert_rejected("node = \"drover-1\"", "node = \"drover-0\"", reason);
    assert!(load(&PLATFORM.replace("txn_ops = 16", "txn_ops = 4"), None).is_ok());
}

#[test]
fn the_error_for_an_invalid_team_names_the_file_and_the_reason() {
    let invalid_amount = "`deployment.teams` has a negative or non-finite amount";
    let above_limit = "`deployment.teams` guarantees more than its limit";
    for (key, value) in [("cpus", "24.0"), ("gpus", "2.0"), ("cpus_max", "40.0")] {
        let from = format!("{key} = {value}");
        assert_rejected(&from, &format!("{key} = -1.0"), invalid_amount);
        assert_rejected(&from, &format!("{key} = nan"), invalid_amount);
    }
    assert_rejected("gpus_max = 4.0", "gpus_max = inf", invalid_amount);
    assert_rejected("cpus = 24.0", "cpus = 40.5", above_limit);
    assert_rejected("gpus = 2.0", "gpus = 4.5", above_limit);
    assert!(load(&PLATFORM.replace("cpus = 24.0", "cpus = 40.0"), None).is_ok());
}

#[test]
fn the_error_for_an_invalid_operator_value_names_the_file_and_the_key() {
    for (line, problem) in [
        ("group_factor = 0.9", "`group_factor` must be at least 1"),
        ("group_factor = nan", "`group_factor` must be at least 1"),
        ("fetch_gb_per_s = 0.0", "`fetch_gb_per_s` must be above 0"),
        ("fetch_gb_per_s = inf", "`fetch_gb_per_s` must be above 0"),
        ("idle_return_s = -0.5", "`idle_return_s` must be 0 or more"),
        ("hold_s = 0.4", "`hold_s` must be from 0.5 to 60"),
        ("hold_s = 60.5", "`hold_s` must be from 0.5 to 60"),
        ("hold_s = nan", "`hold_s` must be from 0.5 to 60"),
    ] {
        let error = load(PLATFORM, Some(line)).unwrap_err();
        assert!(
            error.ends_with(&format!("operator.toml: {problem}")),
            "{error}"
        );
    }
    for line in [
        "group_factor = 1.0",
        "idle_return_s = 0.0",
        "hold_s = 0.5",
        "hold_s = 60.0",
    ] {
        assert!(load(PLATFORM, Some(line)).is_ok(), "{line}");
    }
}

#[test]
fn the_error_for_an_unreadable_or_malformed_file_names_the_file() {
    let missing = Path::new("/nonexistent/p.toml");
    let error = Settings::load(missing, None).unwrap_err().to_string();
    assert!(error.starts_with("/nonexistent/p.toml: "), "{error}");
    let error = load("node = ", None).unwrap_err();
    assert!(error.contains("platform.toml: "), "{error}");
    let text = PLATFORM.replace("api_addr = \"10.0.0.1:8080\"", "api_addr = \"here\"");
    let error = load(&text, None).unwrap_err();
    assert!(error.contains("api_addr"), "{error}");
}

#[test]
fn the_deploy_file_contains_the_build_and_run_commands() {
    let text = include_str!("../../deploy/service.toml");
    let deploy: toml::Table = text.parse().unwrap();
    let command = |key: &str| deploy[key].as_str().unwrap();
    assert_eq!(command("build"), "cargo build --release --locked");
    assert_eq!(command("run"), "target/release/hollowswitch --config");
    assert_eq!(deploy.len(), 2);
}
