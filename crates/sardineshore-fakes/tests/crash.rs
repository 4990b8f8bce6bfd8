//! A poison request crashes the server process after the execution log has recorded the crash.

use std::io::{BufRead, BufReader};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use http_types::{Method, Request, Url};
use sardineshore_fakes::server::log;
use sardineshore_wire::audit_log::ExecutionEvent;
use sardineshore_wire::headers;
use sardineshore_wire::http::{Client, ClientError};

const SIGABRT: i32 = 6;
const TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a server and returns it with its address.
fn start(log: &Path) -> (Child, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardine-fake-server"))
        .args(["--listen", "127.0.0.1:0", "--name", "s1", "--log"])
        .arg(log)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let addr = line.trim().rsplit(' ').next().unwrap().to_owned();
    (child, addr)
}

#[async_std::test]
async fn run_poison_crashes_after_its_line_is_written() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("poison.log");
    let _ = std::fs::remove_file(&path);
    let (mut child, addr) = start(&path);
    let url = Url::parse(&format!("http://{addr}/v1/run")).unwrap();
    let mut req = Request::new(Method::Post, url);
    req.insert_header(headers::ATTEMPT, "a1");
    req.set_body(r#"{"tag": "t1", "poison": true}"#);
    let lost = Client::default().send(&addr, req, TIMEOUT).await;
    assert!(matches!(lost, Err(ClientError::ReplyLost(_))), "{lost:?}");
    assert_eq!(child.wait().unwrap().signal(), Some(SIGABRT));
    let lines = log::read(&path).unwrap();
    let events: Vec<_> = lines.iter().map(|line| (line.event, &*line.tag)).collect();
    let expected = [
        (ExecutionEvent::Started, ""),
        (ExecutionEvent::Begun, "t1"),
        (ExecutionEvent::Crashed, "t1"),
    ];
    assert_eq!(events, expected);
}
