//! What the client of the platform makes of the instance list.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use async_std::task::block_on;
use sardineshore_wire::platform::{InstanceList, PlatformClient};

/// Longer than any test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A client of a platform that answers one call with this body.
fn client(body: &str) -> PlatformClient {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0_u8; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(response.as_bytes()).unwrap();
    });
    PlatformClient::new(addr, TIMEOUT)
}

/// Guards against one odd entry that keeps an instance from following the instance list.
#[test]
fn list_odd_entry_leaves_the_others_readable() {
    let entry = |name: &str| {
        format!(
            r#"{{"name":"{name}","addr":"10.1.0.1:80","domain":"d","role":"entry","leaving":false}}"#
        )
    };
    let sound = entry("b");
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        deep.clone(),
        sound.replace("\"d\"", &deep),
        sound.replace("false", "1e999"),
        sound.replace("false", "99999999999999999999"),
        sound.replace(":80", ":99999"),
        sound.replace(":80", ":0"),
        sound.replace("10.1.0.1", "0.0.0.0"),
        sound.replace("10.1.0.1", "host"),
        sound.replace("entry", "stranger"),
        sound.replace(",\"leaving\":false", ""),
        r#"["b","10.1.0.1:80","d","entry",false]"#.to_owned(),
        "null".to_owned(),
    ];
    for odd in odd {
        let list = format!("[{},{odd},{}]", entry("a"), entry("c"));
        let listed = block_on(client(&list).list()).expect("the list is readable");
        let names = listed.processes.iter().map(|process| &*process.name);
        assert_eq!(names.collect::<Vec<_>>(), ["a", "c"], "{odd:.60}");
        assert_eq!(listed.unreadable, 1, "{odd:.60}");
    }
}
