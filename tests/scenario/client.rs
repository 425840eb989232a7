//! A client of the forwarder.

use super::script::unescape;
use super::sockets::{connect, read_message, write};
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

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
            ["send", id, more @ ..] => self.send(id, more),
            ["sends", count, name, more @ ..] => {
                for number in 1..=count.parse().expect("a number") {
                    self.send(&format!("{name}{number}"), more);
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

    fn send(&mut self, id: &str, words: &[&str]) {
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
        write(self.stream.get_mut(), request.as_bytes()).expect("written");
    }

    fn expect(&mut self, status: &str, headers: &[&str]) {
        let head = read_message(&mut self.stream).expect("a response").head;
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        headers.iter().for_each(|h| assert!(head.contains(h), "no {h} in {head}"));
    }
}
