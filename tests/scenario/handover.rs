//! The other process of a hand-over, which the script controls: a successor that asks for it, or a predecessor that owns the
//! state folder.

use super::script::unescape;
use super::sockets::{bound_socket, connect, listen, read_message};
use cedarbridge::net::handover::frames::FORMAT_VERSION;
use serde_json::{json, Value};
use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;

/// A process that asks the running forwarder for a hand-over.
#[derive(Default)]
pub struct Successor {
    /// The connection of the hand-over; `None` before it was asked for and after `disconnects`.
    stream: Option<BufReader<TcpStream>>,
    /// The head of the last frame that `expects` received.
    last_frame: Value,
}

impl Successor {
    /// Runs a line of the script; `owner` is the path of the state folder's file `owner`.
    pub fn step(&mut self, words: &[&str], owner: &Path) {
        match words {
            ["asks", status, more @ ..] => self.ask(status, more, owner),
            ["reads-state"] => assert!(self.next_frame()["State"]["module"].is_object()),
            ["owns"] => {
                self.send(&json!("Owns"));
                assert_eq!(self.next_frame(), "Granted");
            }
            ["expects", kind] => {
                self.last_frame = self.next_frame();
                assert!(self.last_frame[*kind].is_object(), "{}", self.last_frame);
            }
            ["accepts"] => {
                let number = self.last_frame["Take"]["number"].clone();
                self.send(&json!({"Reply": {"number": number, "reply": {"Taken": 7}}}));
            }
            ["disconnects"] => self.stream = None,
            _ => panic!("no such step of a successor"),
        }
    }

    fn stream(&mut self) -> &mut BufReader<TcpStream> {
        self.stream.as_mut().expect("a hand-over was asked for")
    }

    /// Asks for a hand-over at the address and with the token in the file `owner`, and expects the status.
    fn ask(&mut self, status: &str, options: &[&str], owner: &Path) {
        let owner: Value =
            serde_json::from_slice(&fs::read(owner).expect("the file `owner` is read")).expect("it is JSON");
        let option = |name: &str| options.iter().find_map(|o| o.strip_prefix(name)?.strip_prefix('='));
        let token = option("token").unwrap_or(owner["token"].as_str().expect("the owner has a token"));
        let format = option("format").map_or_else(|| FORMAT_VERSION.to_string(), str::to_owned);
        let admin_address: SocketAddr =
            owner["operator"].as_str().expect("text").parse().expect("an address");
        let mut stream = connect(admin_address);
        let accepts =
            option("accepts").map_or(String::new(), |frame| format!("X-Accept-Frames: {frame}\r\n"));
        let head =
            format!("POST /admin/handover HTTP/1.1\r\nX-Token: {token}\r\nX-Format: {format}\r\n{accepts}");
        stream.write_all((head + "Content-Length: 0\r\n\r\n").as_bytes()).expect("written");
        let mut stream = BufReader::new(stream);
        let head = read_message(&mut stream).expect("a response").head;
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        self.stream = Some(stream);
    }

    /// Sends a frame without a body: the sizes of head and body as little-endian `u32`, then the head. The head must be
    /// shorter than 256 bytes.
    fn send(&mut self, head: &Value) {
        let text = head.to_string();
        let mut frame = vec![text.len() as u8, 0, 0, 0, 0, 0, 0, 0];
        frame.extend_from_slice(text.as_bytes());
        self.stream().get_mut().write_all(&frame).expect("written");
    }

    /// Reads the next frame of the running forwarder and returns its head.
    fn next_frame(&mut self) -> Value {
        let stream = self.stream();
        let mut sizes = [0; 8];
        stream.read_exact(&mut sizes).expect("a frame arrives in time");
        let size = |at: usize| u32::from_le_bytes(sizes[at..at + 4].try_into().expect("four bytes")) as usize;
        let mut bytes = vec![0; size(0) + size(4)];
        stream.read_exact(&mut bytes).expect("a complete frame");
        serde_json::from_slice(&bytes[..size(0)]).expect("the head of a frame is JSON")
    }
}

/// A process that owns the state folder.
#[derive(Default)]
pub struct Predecessor {
    /// The locked file `owner`, and the listener for requests of a hand-over; `None` if it does not own the folder.
    owner: Option<(fs::File, TcpListener)>,
}

impl Predecessor {
    /// Runs a line of the script; `owner` is the path of the state folder's file `owner`.
    pub fn step(&mut self, words: &[&str], rest: &str, owner: &Path) {
        match words {
            ["owns"] => {
                let mut file = fs::File::create(owner).expect("a file");
                file.lock().expect("locked");
                let listener = listen(bound_socket(), 8);
                let admin_address = listener.local_addr().expect("bound");
                let owner = json!({"operator": admin_address, "token": "t"}).to_string();
                file.write_all(owner.as_bytes()).expect("written");
                self.owner = Some((file, listener));
            }
            ["answers", ..] => {
                let (mut stream, _) =
                    self.owner.as_ref().expect("it owns the folder").1.accept().expect("a connection");
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                let head = read_message(&mut reader).expect("a request").head;
                assert!(head.contains("X-Token: t\r\n"), "{head}");
                let text = unescape(rest.trim_start_matches("answers").trim_start());
                stream.write_all(text.as_bytes()).expect("written");
            }
            ["exits"] => self.owner = None,
            _ => panic!("no such step of a predecessor"),
        }
    }
}
