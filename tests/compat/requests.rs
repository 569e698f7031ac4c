//! Tests of the program as a running process, while the state service and the cloud answer every request with 503: its responses
//! at both of its addresses, and the requests that it sends to these services.

use super::literal::{hex, message, to_cbor};
use ciborium::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of one step of a test. Longer than any exchange in these tests takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Fake external service that records all requests and answers each with 503.
struct UnavailableService {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl UnavailableService {
    /// Starts the service on a free port.
    fn start() -> UnavailableService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded = Arc::clone(&recorded);
                std::thread::spawn(move || serve_503(stream, &recorded));
            }
        });
        UnavailableService { address, requests }
    }

    /// Waits until a request whose start line begins with `prefix` has been received.
    fn wait_for_request(&self, prefix: &str) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let requests = self.requests.lock().expect("no panic").clone();
            if requests.iter().any(|request| request.starts_with(prefix)) {
                return;
            }
            assert!(Instant::now() < deadline, "{prefix} not among {requests:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Records the start line of every request on a connection and answers it with 503.
fn serve_503(stream: TcpStream, requests: &Mutex<Vec<String>>) {
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        requests.lock().expect("no panic").push(request.start_line);
        if writer
            .write_all(b"HTTP/1.1 503 \r\ncontent-length: 0\r\n\r\n")
            .is_err()
        {
            return;
        }
    }
}

/// HTTP request or response.
struct HttpMessage {
    start_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the value of a header by its lower-case name.
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1).expect("a status");
        status.parse().expect("a number")
    }

    /// Decodes the CBOR body.
    fn cbor_body(&self) -> Value {
        assert_eq!(self.header("content-type"), Some("application/cbor"));
        ciborium::from_reader(self.body.as_slice()).expect("CBOR")
    }
}

/// Reads an HTTP message. Returns `None` if the connection ends before its end.
fn read_message(reader: &mut impl BufRead) -> Option<HttpMessage> {
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
    Some(HttpMessage {
        start_line: lines[0].clone(),
        headers,
        body,
    })
}

/// A running process of the program, with the fake services that it is configured with. The process is killed on drop.
struct Program {
    process: Child,
    api: SocketAddr,
    internal: SocketAddr,
    cloud: UnavailableService,
    state: UnavailableService,
}

impl Program {
    /// Starts the program with a settings file of this name and waits until it listens on both addresses.
    fn start(name: &str) -> Program {
        let (cloud, state) = (UnavailableService::start(), UnavailableService::start());
        let (api, internal) = (free_address(), free_address());
        let settings = format!(
            "node = \"drover-0\"\nzone = \"a\"\napi_addr = \"{api}\"\ninternal_addr = \"{internal}\"\n\
             [external]\ncloud = \"{}\"\nstate = \"{}\"\n{DEPLOYMENT_SETTINGS}",
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
        wait_until_listening(api);
        wait_until_listening(internal);
        program
    }

    /// Sends a GET request to the API address.
    fn get(&self, path: &str) -> HttpMessage {
        send_request(self.api, "GET", path, &[])
    }

    /// Sends a POST request to the API address.
    fn post(&self, path: &str, body: &[u8]) -> HttpMessage {
        send_request(self.api, "POST", path, body)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Fails if the process has already exited, which the requests of the test report.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns a free loopback address. Its host is derived from the process id and a counter, so that neither another test nor the
/// local end of an outgoing connection takes the address.
fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id().to_le_bytes()[0];
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let listener = TcpListener::bind((Ipv4Addr::new(127, 77, process, host), 0));
    let listener = listener.expect("a free port");
    listener.local_addr().expect("an address")
}

/// Waits until the program accepts connections at an address.
fn wait_until_listening(address: SocketAddr) {
    let deadline = Instant::now() + TIMEOUT;
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < deadline, "the program listens");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a request on a new connection and returns the response.
fn send_request(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> HttpMessage {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    // The program may respond and close the connection before it has read all of a large body.
    let _ = stream.write_all(body);
    read_message(&mut BufReader::new(stream)).expect("an answer")
}

/// Part of the settings that is the same in all tests.
const DEPLOYMENT_SETTINGS: &str = "
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

/// Returns an encoded submission.
fn submission(id: &str) -> Vec<u8> {
    to_cbor(&message!({
        "id" => id, "lane" => "train", "crew" => "vision", "shape" => "array",
        "rank" => "urgent", "chores" => 1, "cores" => 1.0, "cards" => 0.0, "memGb" => 1.0,
        "bundle" => "img-07", "pullGb" => 1.0, "together" => false, "scatter" => false,
        "loaners" => true, "reckonS" => 240.0, "markEveryS" => 30.0, "stowS" => 4.0
    }))
}

/// Returns the body of an error response.
fn error_body(text: &str) -> Value {
    message!({ "error" => text })
}

#[test]
fn an_invalid_submission_gets_400_with_the_reason() {
    let program = Program::start("malformed");
    for body in [&b""[..], b"{}", &hex("a0"), &hex("80"), &hex("f6")] {
        let response = program.post("/v1/jobs", body);
        assert_eq!(
            (response.status(), response.cbor_body()),
            (400, error_body("malformed"))
        );
    }
    let mut trailing = submission("wk-1");
    trailing.push(0);
    let response = program.post("/v1/jobs", &trailing);
    assert_eq!(
        (response.status(), response.cbor_body()),
        (400, error_body("malformed"))
    );
    let response = program.post("/v1/jobs", &submission("job-1"));
    assert_eq!(
        (response.status(), response.cbor_body()),
        (400, error_body("id"))
    );
}

#[test]
fn a_body_above_the_size_limit_gets_413() {
    let program = Program::start("too-large");
    let response = program.post("/v1/jobs", &vec![0; 65_537]);
    assert_eq!(response.status(), 413);
    let response = program.post("/hello", &vec![0; 65_537]);
    assert_eq!(
        (response.status(), response.cbor_body()),
        (400, error_body("malformed"))
    );
    let response = program.post("/hello", &vec![0; 1_048_577]);
    assert_eq!(response.status(), 413);
}

#[test]
fn a_user_request_during_a_store_outage_gets_503_with_retry_after_and_a_closed_connection() {
    let program = Program::start("later");
    let responses = [
        program.post("/v1/jobs", &submission("wk-1")),
        program.get("/v1/jobs/wk-1"),
        program.post("/v1/jobs/wk-1/abort", &[]),
    ];
    for response in responses {
        assert_eq!(
            (response.status(), response.cbor_body()),
            (503, error_body("try again"))
        );
        assert_eq!(response.header("retry-after"), Some("1"));
        assert_eq!(response.header("connection"), Some("close"));
    }
}

#[test]
fn invalid_job_ids_and_unknown_paths_get_404() {
    let program = Program::start("unknown");
    for response in [
        program.get("/v1/jobs/job-1"),
        program.post("/v1/jobs/wk-x/abort", &[]),
    ] {
        assert_eq!(
            (response.status(), response.cbor_body()),
            (404, error_body("no such job"))
        );
        assert_eq!(response.header("retry-after"), None);
    }
    for path in ["/", "/v1", "/v1/job", "/peer/view", "/peer/cancelled"] {
        let response = program.get(path);
        assert_eq!(
            (response.status(), response.cbor_body()),
            (404, error_body("no such path"))
        );
    }
    let response = send_request(program.internal, "GET", "/up", &[]);
    assert_eq!(
        (response.status(), response.cbor_body()),
        (404, error_body("no such path"))
    );
}

#[test]
fn a_heartbeat_to_a_controller_without_authority_gets_503_and_a_closed_connection() {
    let program = Program::start("worker");
    let heartbeat = to_cbor(&message!({
        "host" => "n-000231", "address" => "10.1.0.232:9000", "breed" => "g8", "yard" => "a",
        "loaners" => true, "shift" => 1, "tally" => 1, "baton" => 0, "chores" => []
    }));
    let response = program.post("/hello", &heartbeat);
    assert_eq!(
        (response.status(), response.cbor_body()),
        (503, error_body("no authority to act"))
    );
    assert_eq!(response.header("connection"), Some("close"));
    let response = program.post("/hello", b"nonsense");
    assert_eq!(
        (response.status(), response.cbor_body()),
        (400, error_body("malformed"))
    );
    assert_eq!(response.header("connection"), None);
}

#[test]
fn peer_requests_are_served_only_at_the_internal_address() {
    let program = Program::start("peers");
    let empty_view = hex("0000000000000000 0000000000000000 0000000000000000 00 00 00");
    let response = send_request(program.internal, "POST", "/peer/view", &empty_view);
    assert_eq!(response.status(), 200);
    // The view of the program itself: its name, no epoch, no revision, whether the state service is reachable, no rate of changes
    // and no task counts. Right after its start, the program may not have noticed yet that the state service is unavailable.
    let expected_start = hex("0800000000000000 64726f7665722d30 0000000000000000 0000000000000000");
    let (start, rest) = response.body.split_at(expected_start.len());
    assert_eq!(start, expected_start);
    assert!(matches!(rest, [0 | 1, 0, 0]), "{rest:?}");
    let no_jobs = hex("0000000000000000");
    let response = send_request(program.internal, "POST", "/peer/cancelled", &no_jobs);
    assert_eq!(
        (response.status(), response.body),
        (200, hex("0000000000000000"))
    );
    for path in ["/peer/view", "/peer/cancelled"] {
        let response = send_request(program.internal, "POST", path, b"x");
        assert_eq!(
            (response.status(), response.cbor_body()),
            (400, error_body("malformed"))
        );
        assert_eq!(program.post(path, &empty_view).status(), 404);
    }
}

#[test]
fn a_controller_without_the_state_service_is_not_ready_and_sends_no_cloud_requests() {
    let program = Program::start("outage");
    assert_eq!(program.get("/up").status(), 503);
    program
        .state
        .wait_for_request("GET /keys?starts=hollowswitch/catalogue&after=&limit=200 HTTP/1.1");
    assert!(program.cloud.requests.lock().expect("no panic").is_empty());
}

#[test]
fn a_missing_settings_file_ends_the_program_with_status_2_and_a_valid_one_passes_the_check() {
    let run_with = |arguments: &[&str]| {
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
    let (status, _, errors) = run_with(&["--config", "/nonexistent/p.toml"]);
    assert_eq!(status, Some(2));
    assert!(
        errors.starts_with("hollowswitch: /nonexistent/p.toml: "),
        "{errors}"
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("valid.toml");
    let addresses = "node = \"drover-0\"\nzone = \"a\"\napi_addr = \"127.0.0.1:1\"\n\
                     internal_addr = \"127.0.0.1:2\"\n[external]\ncloud = \"127.0.0.1:3\"\n\
                     state = \"127.0.0.1:4\"\n";
    std::fs::write(&path, format!("{addresses}{DEPLOYMENT_SETTINGS}")).expect("a settings file");
    let (status, output, _) = run_with(&["--check", "--config", path.to_str().expect("text")]);
    assert_eq!((status, output.as_str()), (Some(0), "settings are valid\n"));
}
