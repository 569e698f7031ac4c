//! The program as it is started: what it answers at both of its addresses while the state service refuses everything,
//! and what it asks of the state service and of the cloud.

use super::literal::{bytes, hex, message};
use ciborium::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than any of these exchanges takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// An outside service that notes the requests and refuses them with 503.
struct Refusing {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Refusing {
    fn start() -> Refusing {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let noted = Arc::clone(&requests);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let noted = Arc::clone(&noted);
                std::thread::spawn(move || refuse_all(stream, &noted));
            }
        });
        Refusing { address, requests }
    }

    /// Waits for a request that begins so.
    fn wait_for(&self, start: &str) {
        let until = Instant::now() + PATIENCE;
        loop {
            let requests = self.requests.lock().expect("no panic").clone();
            if requests.iter().any(|request| request.starts_with(start)) {
                return;
            }
            assert!(Instant::now() < until, "{start} not among {requests:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn refuse_all(stream: TcpStream, requests: &Mutex<Vec<String>>) {
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(received) = receive(&mut reader) {
        requests.lock().expect("no panic").push(received.start_line);
        if writer
            .write_all(b"HTTP/1.1 503 \r\ncontent-length: 0\r\n\r\n")
            .is_err()
        {
            return;
        }
    }
}

/// A request or an answer.
struct Received {
    start_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Received {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1).expect("a status");
        status.parse().expect("a number")
    }

    fn value(&self) -> Value {
        assert_eq!(self.header("content-type"), Some("application/cbor"));
        ciborium::from_reader(self.body.as_slice()).expect("CBOR")
    }
}

fn receive(reader: &mut impl BufRead) -> Option<Received> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let headers: Vec<_> = lines[1..]
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_string()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received {
        start_line: lines[0].clone(),
        headers,
        body,
    })
}

/// The program, ended when dropped.
struct Program {
    process: Child,
    api: SocketAddr,
    internal: SocketAddr,
    cloud: Refusing,
    state: Refusing,
}

impl Program {
    fn start(name: &str) -> Program {
        let (cloud, state) = (Refusing::start(), Refusing::start());
        let (api, internal) = (free_address(), free_address());
        let settings = format!(
            "node = \"drover-0\"\nzone = \"a\"\napi_addr = \"{api}\"\ninternal_addr = \"{internal}\"\n\
             [external]\ncloud = \"{}\"\nstate = \"{}\"\n{LIMITS}",
            cloud.address, state.address
        );
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("a settings file");
        let process = Command::new(env!("CARGO_BIN_EXE_hollowswitch"))
            .arg("--config")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let program = Program {
            process,
            api,
            internal,
            cloud,
            state,
        };
        wait_until_served(api);
        wait_until_served(internal);
        program
    }

    fn get(&self, path: &str) -> Received {
        request(self.api, "GET", path, &[])
    }

    fn post(&self, path: &str, body: &[u8]) -> Received {
        request(self.api, "POST", path, body)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself; the test says so elsewhere.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// An address of this machine that no other test and no client uses.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id().to_le_bytes()[0];
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let listener = TcpListener::bind((Ipv4Addr::new(127, 77, process, host), 0));
    let listener = listener.expect("a free port");
    listener.local_addr().expect("an address")
}

fn wait_until_served(address: SocketAddr) {
    let until = Instant::now() + PATIENCE;
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < until, "the program listens");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn request(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Received {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    // The program may answer and close before it has read the whole of a large body.
    let _ = stream.write_all(body);
    receive(&mut BufReader::new(stream)).expect("an answer")
}

/// The part of the settings that does not differ.
const LIMITS: &str = "
[deployment]
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
";

fn submission(id: &str) -> Vec<u8> {
    bytes(&message!({
        "id" => id, "lane" => "train", "crew" => "vision", "shape" => "array",
        "rank" => "urgent", "chores" => 1, "cores" => 1.0, "cards" => 0.0, "memGb" => 1.0,
        "bundle" => "img-07", "pullGb" => 1.0, "together" => false, "scatter" => false,
        "loaners" => true, "reckonS" => 240.0, "markEveryS" => 30.0, "stowS" => 4.0
    }))
}

fn error(text: &str) -> Value {
    message!({ "error" => text })
}

#[test]
fn a_malformed_submission_gets_400_with_the_field() {
    let program = Program::start("malformed");
    for body in [&b""[..], b"{}", &hex("a0"), &hex("80"), &hex("f6")] {
        let answer = program.post("/v1/jobs", body);
        assert_eq!((answer.status(), answer.value()), (400, error("malformed")));
    }
    let mut trailing = submission("wk-1");
    trailing.push(0);
    let answer = program.post("/v1/jobs", &trailing);
    assert_eq!((answer.status(), answer.value()), (400, error("malformed")));
    let answer = program.post("/v1/jobs", &submission("job-1"));
    assert_eq!((answer.status(), answer.value()), (400, error("id")));
}

#[test]
fn a_body_over_the_limit_gets_413() {
    let program = Program::start("too-large");
    let answer = program.post("/v1/jobs", &vec![0; 65_537]);
    assert_eq!(answer.status(), 413);
    let answer = program.post("/hello", &vec![0; 65_537]);
    assert_eq!((answer.status(), answer.value()), (400, error("malformed")));
    let answer = program.post("/hello", &vec![0; 1_048_577]);
    assert_eq!(answer.status(), 413);
}

#[test]
fn a_user_whom_the_node_cannot_serve_gets_503_with_retry_after_and_a_closed_connection() {
    let program = Program::start("later");
    let answers = [
        program.post("/v1/jobs", &submission("wk-1")),
        program.get("/v1/jobs/wk-1"),
        program.post("/v1/jobs/wk-1/abort", &[]),
    ];
    for answer in answers {
        assert_eq!((answer.status(), answer.value()), (503, error("try again")));
        assert_eq!(answer.header("retry-after"), Some("1"));
        assert_eq!(answer.header("connection"), Some("close"));
    }
}

#[test]
fn what_no_user_can_have_submitted_and_unknown_paths_get_404() {
    let program = Program::start("unknown");
    for answer in [
        program.get("/v1/jobs/job-1"),
        program.post("/v1/jobs/wk-x/abort", &[]),
    ] {
        assert_eq!(
            (answer.status(), answer.value()),
            (404, error("no such job"))
        );
        assert_eq!(answer.header("retry-after"), None);
    }
    for path in ["/", "/v1", "/v1/job", "/peer/view", "/peer/cancelled"] {
        let answer = program.get(path);
        assert_eq!(
            (answer.status(), answer.value()),
            (404, error("no such path"))
        );
    }
    let answer = request(program.internal, "GET", "/up", &[]);
    assert_eq!(
        (answer.status(), answer.value()),
        (404, error("no such path"))
    );
}

#[test]
fn a_worker_that_is_not_served_here_is_told_so_and_its_connection_closed() {
    let program = Program::start("worker");
    let report = bytes(&message!({
        "host" => "n-000231", "address" => "10.1.0.232:9000", "breed" => "g8", "yard" => "a",
        "loaners" => true, "shift" => 1, "tally" => 1, "baton" => 0, "chores" => []
    }));
    let answer = program.post("/hello", &report);
    assert_eq!(
        (answer.status(), answer.value()),
        (503, error("no authority to act"))
    );
    assert_eq!(answer.header("connection"), Some("close"));
    let answer = program.post("/hello", b"nonsense");
    assert_eq!((answer.status(), answer.value()), (400, error("malformed")));
    assert_eq!(answer.header("connection"), None);
}

#[test]
fn peers_are_answered_at_their_address_only() {
    let program = Program::start("peers");
    let nobody = hex("0000000000000000 0000000000000000 0000000000000000 00 00 00");
    let answer = request(program.internal, "POST", "/peer/view", &nobody);
    assert_eq!(answer.status(), 200);
    // Its own view: its name, no epoch, no revision, whether the state service answers, neither rate nor counts. It has
    // just begun, so that it may or may not have found out that the state service refuses everything.
    let before = hex("0800000000000000 64726f7665722d30 0000000000000000 0000000000000000");
    let (start, rest) = answer.body.split_at(before.len());
    assert_eq!(start, before);
    assert!(matches!(rest, [0 | 1, 0, 0]), "{rest:?}");
    let no_jobs = hex("0000000000000000");
    let answer = request(program.internal, "POST", "/peer/cancelled", &no_jobs);
    assert_eq!(
        (answer.status(), answer.body),
        (200, hex("0000000000000000"))
    );
    for path in ["/peer/view", "/peer/cancelled"] {
        let answer = request(program.internal, "POST", path, b"x");
        assert_eq!((answer.status(), answer.value()), (400, error("malformed")));
        assert_eq!(program.post(path, &nobody).status(), 404);
    }
}

#[test]
fn a_node_without_the_state_service_reads_it_again_and_says_that_it_cannot_serve() {
    let program = Program::start("outage");
    assert_eq!(program.get("/up").status(), 503);
    program
        .state
        .wait_for("GET /keys?starts=hollowswitch/catalogue&after=&limit=200 HTTP/1.1");
    assert!(program.cloud.requests.lock().expect("no panic").is_empty());
}

#[test]
fn wrong_settings_end_the_program_with_status_2_and_the_reason() {
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_hollowswitch"))
            .args(arguments)
            .output()
            .expect("the program runs");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
        (
            output.status.code(),
            text(output.stdout),
            text(output.stderr),
        )
    };
    let (status, _, errors) = run(&["--config", "/nonexistent/p.toml"]);
    assert_eq!(status, Some(2));
    assert!(
        errors.starts_with("hollowswitch: /nonexistent/p.toml: "),
        "{errors}"
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("valid.toml");
    let addresses = "node = \"drover-0\"\nzone = \"a\"\napi_addr = \"127.0.0.1:1\"\n\
                     internal_addr = \"127.0.0.1:2\"\n[external]\ncloud = \"127.0.0.1:3\"\n\
                     state = \"127.0.0.1:4\"\n";
    std::fs::write(&path, format!("{addresses}{LIMITS}")).expect("a settings file");
    let (status, output, _) = run(&["--check", "--config", path.to_str().expect("text")]);
    assert_eq!((status, output.as_str()), (Some(0), "settings are valid\n"));
}
