//! Fences, which tell whether the process still runs that may have an attempt in flight.

use cedarbridge::net::call::AttemptId;
use cedarbridge::net::handover::fence::{write_substitute, Fence, OwnFence};
use cedarbridge::net::handover::frames::CallsFrame;
use cedarbridge::net::handover::lock::Owner;
use cedarbridge::MessageId;
use std::collections::BTreeSet;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;

struct StateFolder(PathBuf);

impl StateFolder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("cedarbridge-fences-{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        StateFolder(path)
    }

    fn fences(&self) -> Vec<Fence> {
        Fence::find_all(&self.0).expect("the fences are read")
    }

    fn file_count(&self) -> usize {
        fs::read_dir(&self.0).expect("a folder").count()
    }
}

impl Drop for StateFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn attempts(messages: &[u64]) -> BTreeSet<AttemptId> {
    messages.iter().map(|message| AttemptId { message: MessageId(*message), number: 0 }).collect()
}

fn owner(operator: SocketAddr, token: &str) -> Owner {
    Owner { operator, token: token.into() }
}

/// An address at which nobody listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// An operator address that answers one request with a status, or keeps its connection without an answer.
fn operator_address(status: Option<u16>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1024]);
        if let Some(status) = status {
            let _ = write!(stream, "HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        }
        let _ = stream.read(&mut [0; 1024]);
    });
    address
}

fn is_released(fence: &Fence) -> bool {
    async_io::block_on(fence.is_released())
}

/// Guards against a fence that is taken for released while its process runs, or held after the process has ended.
#[test]
fn a_fence_is_held_as_long_as_its_file_is_locked() {
    let folder = StateFolder::new("held");
    let first = owner(unused_address(), "first");
    let own = OwnFence::create(&folder.0, &first, attempts(&[1, 2]), |_| true).expect("written");
    let second = owner(unused_address(), "second");
    let other = OwnFence::create(&folder.0, &second, attempts(&[3]), |_| true).expect("written");
    let fences = folder.fences();
    let found: Vec<_> = fences.iter().map(|fence| (fence.id(), fence.attempts.clone())).collect();
    assert_eq!(found, [("first", attempts(&[1, 2])), ("second", attempts(&[3]))]);
    assert!(fences.iter().all(|fence| !is_released(fence)));
    drop(own);
    assert!(is_released(&fences[0]) && !is_released(&fences[1]));
    // A later process uses the name again: its fence is another one and stays.
    let third = owner(unused_address(), "third");
    let _third = OwnFence::create(&folder.0, &third, attempts(&[4]), |_| true).expect("written");
    fences[0].remove();
    assert_eq!(folder.fences().iter().map(Fence::id).collect::<Vec<_>>(), ["third", "second"]);
    drop(other);
    assert_eq!(folder.fences().len(), 1);
    assert_eq!(folder.file_count(), 1, "a fence of an ended process is removed");
}

/// Guards against a fence that takes the folder over its limit.
#[test]
fn a_fence_without_space_is_not_written() {
    let folder = StateFolder::new("space");
    let owner = owner(unused_address(), "t");
    assert!(OwnFence::create(&folder.0, &owner, attempts(&[1]), |_| false).is_err());
    assert!(write_substitute(&folder.0, &owner, attempts(&[1]), |_| false).is_err());
    assert_eq!(folder.file_count(), 0);
}

/// Guards against a second attempt after an upgrade from a release without fences.
#[test]
fn a_substitute_is_held_until_nobody_knows_the_token_at_the_operator_address() {
    let cases = [(Some(415), false), (Some(404), true), (None, false)];
    for (status, released) in cases {
        let folder = StateFolder::new(&format!("substitute-{status:?}"));
        let owner = owner(operator_address(status), "t");
        write_substitute(&folder.0, &owner, attempts(&[1]), |_| true).expect("written");
        assert_eq!(is_released(&folder.fences()[0]), released, "{status:?}");
    }
    let folder = StateFolder::new("substitute-refused");
    let gone = owner(unused_address(), "t");
    write_substitute(&folder.0, &gone, attempts(&[1]), |_| true).expect("written");
    // A second successor of the same predecessor replaces the first one's.
    write_substitute(&folder.0, &gone, attempts(&[2]), |_| true).expect("written");
    let fences = folder.fences();
    assert_eq!(fences.iter().map(|fence| fence.attempts.clone()).collect::<Vec<_>>(), [attempts(&[2])]);
    assert!(is_released(&fences[0]));
    fences[0].remove();
    assert_eq!(folder.file_count(), 0);
    let _own = OwnFence::create(&folder.0, &gone, attempts(&[1]), |_| true).expect("written");
    write_substitute(&folder.0, &gone, attempts(&[1]), |_| true).expect("nothing to write");
    assert_eq!(folder.file_count(), 1, "a predecessor with a fence of its own needs no substitute");
}

/// The stored form, which releases with other versions of the program read.
#[test]
fn a_stored_fence_is_read() {
    let folder = StateFolder::new("stored");
    let text =
        r#"{"owner":{"operator":"127.0.0.1:1","token":"t"},"attempts":[[7,0],[9,2]],"substitute":true}"#;
    fs::write(folder.0.join("calls.3"), text).expect("written");
    let fences = folder.fences();
    let attempt = |message, number| AttemptId { message: MessageId(message), number };
    assert_eq!(fences[0].attempts, BTreeSet::from([attempt(7, 0), attempt(9, 2)]));
    assert_eq!(fences[0].owner, owner(SocketAddr::from(([127, 0, 0, 1], 1)), "t"));
    let in_flight = CallsFrame::InFlight(vec![attempt(7, 0)]);
    assert_eq!(serde_json::to_string(&in_flight).expect("serialized"), r#"{"InFlight":[[7,0]]}"#);
}
