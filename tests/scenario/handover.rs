//! The other side of a hand-over, played by the script: a successor that asks, or a predecessor that owns the folder.

use super::script::unescape;
use super::sockets::{bound_socket, connect, listening, read_message};
use cedarbridge::net::handover::frames::FORMAT_VERSION;
use serde_json::{json, Value};
use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;

/// A process that asks the one that runs for a hand-over.
#[derive(Default)]
pub struct Successor {
    stream: Option<BufReader<TcpStream>>,
    /// The frame that was expected last.
    last_frame: Value,
}

impl Successor {
    /// Plays a line of the script.
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
        self.stream.as_mut().expect("asked")
    }

    fn ask(&mut self, status: &str, options: &[&str], owner: &Path) {
        let owner: Value = serde_json::from_slice(&fs::read(owner).expect("an owner")).expect("JSON");
        let option = |name: &str| options.iter().find_map(|o| o.strip_prefix(name)?.strip_prefix('='));
        let token = option("token").unwrap_or(owner["token"].as_str().expect("a token"));
        let format = option("format").map_or_else(|| FORMAT_VERSION.to_string(), str::to_owned);
        let operator: SocketAddr = owner["operator"].as_str().expect("text").parse().expect("an address");
        let mut stream = connect(operator);
        let accepts =
            option("accepts").map_or(String::new(), |frame| format!("X-Accept-Frames: {frame}\r\n"));
        let head =
            format!("POST /admin/handover HTTP/1.1\r\nX-Token: {token}\r\nX-Format: {format}\r\n{accepts}");
        stream.write_all((head + "Content-Length: 0\r\n\r\n").as_bytes()).expect("written");
        let mut stream = BufReader::new(stream);
        let head = read_message(&mut stream).expect("an answer").head;
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        self.stream = Some(stream);
    }

    /// Sends a frame without a body.
    fn send(&mut self, head: &Value) {
        let text = head.to_string();
        let mut frame = vec![text.len() as u8, 0, 0, 0, 0, 0, 0, 0];
        frame.extend_from_slice(text.as_bytes());
        self.stream().get_mut().write_all(&frame).expect("written");
    }

    /// The head of the next frame that the process that runs sends.
    fn next_frame(&mut self) -> Value {
        let stream = self.stream();
        let mut sizes = [0; 8];
        stream.read_exact(&mut sizes).expect("a frame");
        let size = |at: usize| u32::from_le_bytes(sizes[at..at + 4].try_into().expect("four")) as usize;
        let mut bytes = vec![0; size(0) + size(4)];
        stream.read_exact(&mut bytes).expect("a complete frame");
        serde_json::from_slice(&bytes[..size(0)]).expect("JSON")
    }
}

/// A process that owns the folder.
#[derive(Default)]
pub struct Predecessor {
    /// The locked file, and where it listens.
    owner: Option<(fs::File, TcpListener)>,
}

impl Predecessor {
    /// Plays a line of the script.
    pub fn step(&mut self, words: &[&str], rest: &str, owner: &Path) {
        match words {
            ["owns"] => {
                let mut file = fs::File::create(owner).expect("a file");
                file.lock().expect("locked");
                let listener = listening(bound_socket(), 8);
                let operator = listener.local_addr().expect("bound");
                let owner = json!({"operator": operator, "token": "t"}).to_string();
                file.write_all(owner.as_bytes()).expect("written");
                self.owner = Some((file, listener));
            }
            ["answers", ..] => {
                let (mut stream, _) = self.owner.as_ref().expect("owns").1.accept().expect("a caller");
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                let head = read_message(&mut reader).expect("a call").head;
                assert!(head.contains("X-Token: t\r\n"), "{head}");
                let text = unescape(rest.trim_start_matches("answers").trim_start());
                stream.write_all(text.as_bytes()).expect("written");
            }
            ["exits"] => self.owner = None,
            _ => panic!("no such step of a predecessor"),
        }
    }
}
