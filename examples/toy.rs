//! A toy platform with two partners, to try the forwarder by hand. It prints each call and each notice.
//!
//! Partner 1 delivers everything. Partner 2 turns each first call away and takes the next one.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

const LIST: &str = r#"{"generation":1,"reset":true,"instances":[
 {"instanceId":"s-1","hostPort":"127.0.0.1:8601","zone":"room","machineType":"cable-operator","cell":1,
  "lifecycle":"active","weight":20.0,"startedAtMs":0},
 {"instanceId":"s-2","hostPort":"127.0.0.1:8602","zone":"room","machineType":"small-partner","cell":2,
  "lifecycle":"active","weight":5.0,"startedAtMs":0}]}"#;

/// Reads one request: its first line, its id and its body.
fn request(from: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let (mut first, mut id, mut length) = (String::new(), String::from("-"), 0);
    from.read_line(&mut first).ok().filter(|n| *n > 0)?;
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        match line.trim().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().ok()?
            }
            Some((name, value)) if name.eq_ignore_ascii_case("x-request-id") => id = value.to_owned(),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((first.trim().to_owned(), id, String::from_utf8_lossy(&body).into_owned()))
}

/// Answers the requests of one connection as long as there are any.
fn converse(stream: TcpStream, answer: impl Fn(&str, &str, &str) -> String) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut stream = stream;
    while let Some((first, id, body)) = request(&mut reader) {
        if stream.write_all(answer(&first, &id, &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn serve(address: &'static str, each: fn(TcpStream)) -> thread::JoinHandle<()> {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || each(stream));
        }
    })
}

fn platform(stream: TcpStream) {
    let mut open = stream.try_clone().expect("a handle");
    let watch = Mutex::new(&mut open);
    converse(stream, |first, _, body| {
        if first.starts_with("POST /reports") {
            body.lines().for_each(|l| println!("notice: {l}"));
            return "HTTP/1.1 204 No Content\r\n\r\n".into();
        }
        // A watch lasts as long as its connection, with an empty line now and then.
        let list = LIST.replace('\n', "") + "\n";
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut watch = watch.lock().expect("unpoisoned");
        let mut going = write!(watch, "{head}{:x}\r\n{list}\r\n", list.len());
        while going.is_ok() {
            thread::sleep(Duration::from_secs(2));
            going = watch.write_all(b"1\r\n\n\r\n");
        }
        String::new()
    });
}

fn partner_one(stream: TcpStream) {
    converse(stream, |first, id, body| {
        println!("partner 1: {first}: {id}: {}: delivered", body.replace("\r\n", " "));
        let lines = body.lines().filter_map(|l| l.split_once(" ")).map(|l| format!("{} delivered\r\n", l.0));
        let ends: String = if first.contains(":batch") { lines.collect() } else { String::new() };
        format!("HTTP/1.1 200 OK\r\nX-Load: x0=0.9,x1=20\r\nContent-Length: {}\r\n\r\n{ends}", ends.len())
    });
}

fn partner_two(stream: TcpStream) {
    static SEEN: Mutex<Option<HashSet<String>>> = Mutex::new(None);
    converse(stream, |_, id, body| {
        let first = SEEN.lock().expect("unpoisoned").get_or_insert_default().insert(id.to_owned());
        println!("partner 2: {id}: {body}: {}", if first { "turned away" } else { "delivered" });
        let status = if first { "429 Later\r\nX-RateLimit-Wait-Ms: 1000" } else { "200 OK" };
        format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
    });
}

fn main() {
    let all = [
        serve("127.0.0.1:8500", platform),
        serve("127.0.0.1:8601", partner_one),
        serve("127.0.0.1:8602", partner_two),
    ];
    println!("the platform listens on 127.0.0.1:8500, partners 1 and 2 on ports 8601 and 8602");
    all.into_iter().for_each(|a| a.join().expect("it serves"));
}
