//! An endpoint that accepts calls and responds as the script says.

use super::script::{expand_ids, text_after, unescape};
use super::sockets::{
    bound_socket, listen, local_address, read_message, serve_connections, write, STEP_TIMEOUT,
};
use super::spoilt_response::SpoiltResponse;
use super::trace::trace;
use socket2::Socket;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The backlog of an endpoint that accepts connections, in connections.
const BACKLOG: i32 = 64;

/// The response to a call whose messages are all delivered.
const DELIVERED_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A received call.
struct Call {
    /// The request ids of its messages.
    ids: Vec<String>,
    stream: TcpStream,
}

/// An endpoint, whose threads accept calls and pass them to the script.
pub struct Endpoint {
    pub destination: u64,
    pub kind: String,
    pub zone: String,
    /// The address at which it listens, or will listen once it opens.
    pub address: SocketAddr,
    call_sender: Sender<Call>,
    calls: Receiver<Call>,
    /// The connections of calls that the script has expected, each by the id that the script names first.
    call_connections: BTreeMap<String, TcpStream>,
    /// `None` once the endpoint accepts connections.
    not_accepting: Option<NotAccepting>,
    automatic_responses: Arc<AutomaticResponses>,
}

/// What an endpoint responds to each call without a line of the script.
#[derive(Clone, Copy)]
enum AutomaticResponse {
    /// Responds with a 200.
    Delivered,
    /// Responds in this way, until the forwarder has closed the connection.
    Spoilt(SpoiltResponse),
}

/// The automatic response of an endpoint, and what calls got a 200 of it.
#[derive(Default)]
struct AutomaticResponses {
    /// The response to each call; `None` if the script says it.
    response: Mutex<Option<AutomaticResponse>>,
    /// How many calls that got a 200 had a message, by its request id.
    calls: Mutex<BTreeMap<String, usize>>,
}

/// The sockets of an endpoint that accepts no connections yet.
enum NotAccepting {
    /// The port is bound and nothing listens, so the system refuses connections.
    Closed(Socket),
    /// The backlog has room for one connection only, which fills it, so the system leaves further ones unanswered.
    Stalled(TcpListener, #[allow(dead_code)] TcpStream),
}

impl Endpoint {
    /// Creates an endpoint in a state: `closed`, `stalled` or `open`.
    pub fn new(destination: u64, kind: &str, zone: &str, state: &str) -> Self {
        let socket = bound_socket();
        let address = local_address(&socket);
        let (call_sender, calls) = channel();
        let (kind, zone, call_connections) = (kind.to_owned(), zone.to_owned(), BTreeMap::new());
        let mut endpoint = Endpoint {
            destination,
            kind,
            zone,
            address,
            call_sender,
            calls,
            call_connections,
            not_accepting: None,
            automatic_responses: Arc::default(),
        };
        match state {
            "closed" => endpoint.not_accepting = Some(NotAccepting::Closed(socket)),
            "stalled" => {
                let listener = listen(socket, 0);
                let filler = TcpStream::connect(address).expect("the first connection fits the backlog");
                endpoint.not_accepting = Some(NotAccepting::Stalled(listener, filler));
            }
            _ => endpoint.serve(listen(socket, BACKLOG)),
        }
        endpoint
    }

    /// Makes the endpoint listen at a new address; open connections to the old one stay open.
    pub fn move_to_new_address(&mut self) {
        let socket = bound_socket();
        self.address = local_address(&socket);
        self.serve(listen(socket, BACKLOG));
    }

    fn serve(&self, listener: TcpListener) {
        let (call_sender, address) = (Mutex::new(self.call_sender.clone()), self.address);
        let automatic_responses = self.automatic_responses.clone();
        serve_connections(listener, move |stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            while let Some(request) = read_message(&mut reader) {
                let ids = match request.head.split("X-Request-Id: ").nth(1) {
                    Some(id) => vec![id.split("\r\n").next().expect("a line").to_owned()],
                    None => batch_ids(&request.body),
                };
                trace(format_args!("call at {address} with {ids:?}"));
                let mut stream = stream.try_clone().expect("a handle");
                let automatic_response = *automatic_responses.response.lock().expect("unpoisoned");
                match automatic_response {
                    Some(AutomaticResponse::Spoilt(spoilt)) => return spoilt.write_until_closed(&mut stream),
                    Some(AutomaticResponse::Delivered) => {
                        let mut calls = automatic_responses.calls.lock().expect("unpoisoned");
                        ids.into_iter().for_each(|id| *calls.entry(id).or_default() += 1);
                        drop(calls);
                        // The write fails if the forwarder has closed the connection; it then retries the call.
                        let _ = write(&mut stream, DELIVERED_RESPONSE);
                    }
                    // Sending fails if the scenario has ended.
                    None => drop(call_sender.lock().expect("unpoisoned").send(Call { ids, stream })),
                }
            }
        });
    }

    /// Runs a line of the script.
    pub fn step(&mut self, words: &[&str], rest: &str) {
        match words {
            ["expect", ids @ ..] => {
                let call = self.next_call();
                assert_eq!(call.ids, ids, "the messages of the call");
                self.call_connections.insert(call.ids[0].clone(), call.stream);
            }
            ["expect-unordered", ids @ ..] => {
                let call = self.next_call();
                let (received, expected) = (call.ids.iter().map(String::as_str), ids.iter().copied());
                assert_eq!(call.ids.len(), ids.len(), "{:?}", call.ids);
                assert_eq!(
                    BTreeSet::from_iter(received),
                    BTreeSet::from_iter(expected),
                    "the messages of the call"
                );
                self.call_connections.insert(ids[0].to_owned(), call.stream);
            }
            ["expect-no-call", milliseconds] => {
                let time = milliseconds.parse().expect("a number of milliseconds");
                let call = self.calls.recv_timeout(Duration::from_millis(time));
                assert!(call.is_err(), "a call with {:?}", call.map(|call| call.ids));
            }
            ["serves", ids @ ..] => self.serve_calls(expand_ids(ids)),
            ["send", id, status, more @ ..] => self.respond(id, status, more),
            ["send-raw", id, ..] => {
                let text = unescape(text_after(rest, id));
                self.call_connection(id).write_all(text.as_bytes()).expect("written");
            }
            ["answers-all"] => self.answer_all(AutomaticResponse::Delivered),
            ["answers-all-with", name] => {
                let spoilt = SpoiltResponse::named(name).expect("a kind of spoilt response");
                self.answer_all(AutomaticResponse::Spoilt(spoilt));
            }
            ["close", id] => {
                let stream = self.call_connections.remove(*id).expect("the call was expected before");
                stream.shutdown(Shutdown::Both).expect("open");
            }
            ["open"] => match self.not_accepting.take().expect("it accepts no connections") {
                NotAccepting::Closed(socket) => self.serve(listen(socket, BACKLOG)),
                NotAccepting::Stalled(listener, _) => self.serve(listener),
            },
            _ => panic!("no such step of an endpoint"),
        }
    }

    fn answer_all(&self, response: AutomaticResponse) {
        *self.automatic_responses.response.lock().expect("unpoisoned") = Some(response);
    }

    /// Whether the endpoint has responded to a call of this message automatically.
    pub fn has_responded_automatically(&self, id: &str) -> bool {
        self.automatic_calls(id) > 0
    }

    /// The number of calls of this message to which the endpoint has responded automatically.
    pub fn automatic_calls(&self, id: &str) -> usize {
        self.automatic_responses.calls.lock().expect("unpoisoned").get(id).copied().unwrap_or_default()
    }

    fn next_call(&self) -> Call {
        self.calls.recv_timeout(STEP_TIMEOUT).expect("a call arrives in time")
    }

    fn call_connection(&mut self, id: &str) -> &mut TcpStream {
        self.call_connections.get_mut(id).expect("the call was expected before")
    }

    /// Receives the next calls, which must contain exactly these messages in any order, and responds to each as delivered.
    fn serve_calls(&self, mut remaining: Vec<String>) {
        let expected = remaining.clone();
        while !remaining.is_empty() {
            let mut call = self.next_call();
            let before = remaining.len();
            remaining.retain(|id| !call.ids.contains(id));
            assert_eq!(
                remaining.len() + call.ids.len(),
                before,
                "{:?} are not all among {expected:?}",
                call.ids
            );
            write(&mut call.stream, DELIVERED_RESPONSE).expect("written");
        }
    }

    /// Responds to the call of a message: `Header:value` words become headers, `id=result` words lines of the body.
    fn respond(&mut self, id: &str, status: &str, words: &[&str]) {
        let headers = words.iter().filter_map(|w| w.split_once(':'));
        let headers: String = headers.map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let results = words.iter().filter_map(|w| w.split_once('='));
        let body: String = results.map(|(id, result)| format!("{id} {result}\r\n")).collect();
        let length = body.len();
        let response = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        write(self.call_connection(id), response.as_bytes()).expect("written");
    }
}

/// Returns the request ids in the body of a call with several messages.
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
