//! A client of the forwarder.

use super::script::unescape;
use super::sockets::{connect, read_message, write, PATIENCE};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The pause before a message is sent once more.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Sends a message until it is accepted, each time on a new connection and under an id of its own; that id.
pub fn submit(address: SocketAddr, name: &str, words: &[&str]) -> String {
    let begun = Instant::now();
    for number in 1.. {
        let id = format!("{name}-{number}");
        let mut client = Client::connect(address);
        // A connection that has just been reset gives no status either.
        let _ = client.send(&id, words);
        match client.status() {
            Some(202) => return id,
            None | Some(503) => thread::sleep(RETRY_PAUSE),
            Some(status) => panic!("{id} was answered with {status}"),
        }
        assert!(begun.elapsed() < PATIENCE, "{id} is not accepted");
    }
    unreachable!("it returns or fails");
}

pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Client { stream: BufReader::new(connect(address)) }
    }

    /// Plays a line of the script.
    pub fn step(&mut self, words: &[&str], rest: &str) {
        match words {
            ["connect"] => {}
            ["send", id, more @ ..] => self.send(id, more).expect("written"),
            ["sends", count, name, more @ ..] => {
                for number in 1..=count.parse().expect("a number") {
                    self.send(&format!("{name}{number}"), more).expect("written");
                    self.expect("202", &[]);
                }
            }
            ["send-raw", ..] => {
                let text = unescape(rest.trim_start_matches("send-raw "));
                self.stream.get_mut().write_all(text.as_bytes()).expect("written");
            }
            ["end-sending"] => self.stream.get_ref().shutdown(Shutdown::Write).expect("open"),
            ["expect", "end"] => {
                let mut left = Vec::new();
                self.stream.read_to_end(&mut left).expect("an orderly end");
                assert!(left.is_empty(), "{}", String::from_utf8_lossy(&left));
            }
            ["expect", status, more @ ..] => self.expect(status, more),
            _ => panic!("no such step of a client"),
        }
    }

    /// The status of the next response; none if the connection ends without one.
    fn status(&mut self) -> Option<u16> {
        let head = read_message(&mut self.stream)?.head;
        head.split(' ').nth(1)?.parse().ok()
    }

    fn send(&mut self, id: &str, words: &[&str]) -> io::Result<()> {
        let options: BTreeMap<&str, &str> = words.iter().filter_map(|w| w.split_once('=')).collect();
        let option = |name: &str, default: &'static str| options.get(name).copied().unwrap_or(default);
        let body = "x".repeat(option("size", "3").parse().expect("a size"));
        let (class, deadline) = (option("class", "notice"), option("deadline", "9000m"));
        let (destination, length) = (option("dest", "1"), body.len());
        let request = format!(
            "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: acme\r\n\
             X-Deadline: {deadline}\r\nIdempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\n\
             Content-Length: {length}\r\n\r\n{body}",
        );
        write(self.stream.get_mut(), request.as_bytes())
    }

    fn expect(&mut self, status: &str, headers: &[&str]) {
        let head = read_message(&mut self.stream).expect("a response").head;
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        headers.iter().for_each(|h| assert!(head.contains(h), "no {h} in {head}"));
    }
}
