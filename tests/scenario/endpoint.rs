//! An endpoint: it accepts calls and responds as the script says.

use super::script::{numbered, text_behind, unescape};
use super::sockets::{accept, bound, listening, local_address, read_message, write, PATIENCE};
use super::trace::trace;
use socket2::Socket;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

/// Connections that wait to be accepted by an endpoint that serves.
const BACKLOG: i32 = 64;

/// The response to a call whose message is delivered.
const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A received call, with the ids of its messages.
struct Call {
    ids: Vec<String>,
    stream: TcpStream,
}

pub struct Endpoint {
    pub destination: u64,
    pub kind: String,
    pub zone: String,
    pub address: SocketAddr,
    sender: Sender<Call>,
    calls: Receiver<Call>,
    /// The connections of calls that were expected, by the message that the script names first.
    expected: BTreeMap<String, TcpStream>,
    refusing: Option<Refusing>,
    answers_all: Arc<AnswersAll>,
}

/// Whether an endpoint answers each call by itself, and the messages that it has answered so.
#[derive(Default)]
struct AnswersAll {
    enabled: AtomicBool,
    ids: Mutex<BTreeSet<String>>,
}

/// An endpoint that accepts no connections yet: its port is bound and refuses, or its queue is full, so that the system leaves
/// further connections unanswered.
enum Refusing {
    Closed(Socket),
    Stalled(TcpListener, #[allow(dead_code)] TcpStream),
}

impl Endpoint {
    pub fn new(destination: u64, kind: &str, zone: &str, state: &str) -> Self {
        let socket = bound();
        let address = local_address(&socket);
        let (sender, calls) = channel();
        let (kind, zone, expected) = (kind.to_owned(), zone.to_owned(), BTreeMap::new());
        let mut endpoint = Endpoint {
            destination,
            kind,
            zone,
            address,
            sender,
            calls,
            expected,
            refusing: None,
            answers_all: Arc::default(),
        };
        match state {
            "closed" => endpoint.refusing = Some(Refusing::Closed(socket)),
            "stalled" => {
                let listener = listening(socket, 0);
                let filler = TcpStream::connect(address).expect("the first fits the queue");
                endpoint.refusing = Some(Refusing::Stalled(listener, filler));
            }
            _ => endpoint.serve(listening(socket, BACKLOG)),
        }
        endpoint
    }

    /// From now on it listens at another address; open connections to the old one stay.
    pub fn move_away(&mut self) {
        let socket = bound();
        self.address = local_address(&socket);
        self.serve(listening(socket, BACKLOG));
    }

    fn serve(&self, listener: TcpListener) {
        let (sender, address) = (Mutex::new(self.sender.clone()), self.address);
        let answers_all = self.answers_all.clone();
        accept(listener, move |stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            while let Some(request) = read_message(&mut reader) {
                let ids = match request.head.split("X-Request-Id: ").nth(1) {
                    Some(id) => vec![id.split("\r\n").next().expect("a line").to_owned()],
                    None => batch_ids(&request.body),
                };
                trace(format_args!("call at {address} with {ids:?}"));
                let mut stream = stream.try_clone().expect("a handle");
                if answers_all.enabled.load(Ordering::SeqCst) {
                    answers_all.ids.lock().expect("unpoisoned").extend(ids);
                    // The forwarder may have left: then the call is repeated.
                    let _ = write(&mut stream, DELIVERED);
                    continue;
                }
                // The scenario may have ended.
                let _ = sender.lock().expect("unpoisoned").send(Call { ids, stream });
            }
        });
    }

    /// Plays a line of the script.
    pub fn step(&mut self, words: &[&str], rest: &str) {
        match words {
            ["expect", ids @ ..] => {
                let call = self.next_call();
                assert_eq!(call.ids, ids, "the messages of the call");
                self.expected.insert(call.ids[0].clone(), call.stream);
            }
            ["expect-unordered", ids @ ..] => {
                let call = self.next_call();
                let (found, wanted) = (call.ids.iter().map(String::as_str), ids.iter().copied());
                assert_eq!(call.ids.len(), ids.len(), "{:?}", call.ids);
                assert_eq!(
                    BTreeSet::from_iter(found),
                    BTreeSet::from_iter(wanted),
                    "the messages of the call"
                );
                self.expected.insert(ids[0].to_owned(), call.stream);
            }
            ["serves", ids @ ..] => self.deliver_all(numbered(ids)),
            ["send", id, status, more @ ..] => self.answer(id, status, more),
            ["send-raw", id, ..] => {
                let text = unescape(text_behind(rest, id));
                self.connection_of(id).write_all(text.as_bytes()).expect("written");
            }
            ["answers-all"] => self.answers_all.enabled.store(true, Ordering::SeqCst),
            ["close", id] => {
                let stream = self.expected.remove(*id).expect("expected before");
                stream.shutdown(Shutdown::Both).expect("open");
            }
            ["open"] => match self.refusing.take().expect("refusing") {
                Refusing::Closed(socket) => self.serve(listening(socket, BACKLOG)),
                Refusing::Stalled(listener, _) => self.serve(listener),
            },
            _ => panic!("no such step of an endpoint"),
        }
    }

    /// Whether it has answered the call of a message by itself.
    pub fn has_answered(&self, id: &str) -> bool {
        self.answers_all.ids.lock().expect("unpoisoned").contains(id)
    }

    fn next_call(&self) -> Call {
        self.calls.recv_timeout(PATIENCE).expect("a call")
    }

    fn connection_of(&mut self, id: &str) -> &mut TcpStream {
        self.expected.get_mut(id).expect("expected before")
    }

    /// Delivers the next calls, which must hold just these messages in any order.
    fn deliver_all(&self, mut ids: Vec<String>) {
        let all = ids.clone();
        while !ids.is_empty() {
            let mut call = self.next_call();
            let before = ids.len();
            ids.retain(|id| !call.ids.contains(id));
            assert_eq!(ids.len() + call.ids.len(), before, "{:?} is among {all:?}", call.ids);
            write(&mut call.stream, DELIVERED).expect("written");
        }
    }

    /// Answers the call of a message: `Header:value` words become headers, `id=result` words lines of the body.
    fn answer(&mut self, id: &str, status: &str, words: &[&str]) {
        let headers = words.iter().filter_map(|w| w.split_once(':'));
        let headers: String = headers.map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let results = words.iter().filter_map(|w| w.split_once('='));
        let body: String = results.map(|(id, result)| format!("{id} {result}\r\n")).collect();
        let length = body.len();
        let answer = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        write(self.connection_of(id), answer.as_bytes()).expect("written");
    }
}

/// The ids of a call that holds several messages.
fn batch_ids(mut body: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    while !body.is_empty() {
        let end = body.windows(2).position(|w| w == b"\r\n").expect("a line");
        let line = std::str::from_utf8(&body[..end]).expect("text");
        let words: Vec<_> = line.split(' ').collect();
        let length: usize = words[2].parse().expect("a length");
        assert_eq!(&body[end + 2 + length..end + 4 + length], b"\r\n", "the body of {line}");
        ids.push(words[0].to_owned());
        body = &body[end + 4 + length..];
    }
    ids
}
