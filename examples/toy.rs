//! A toy platform with two endpoints, to try the forwarder by hand. It prints each call and each report.
//!
//! Endpoint 1 accepts everything. Endpoint 2 rejects the first call of each request and accepts the next one.

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

/// An HTTP request.
struct Request {
    /// The request line: method, path and version.
    line: String,
    /// The value of `X-Request-Id`, or `-` without one.
    id: String,
    body: String,
}

/// Reads one request. `None` at the end of the connection, or if the request is malformed.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (mut request_line, mut id, mut length) = (String::new(), String::from("-"), 0);
    reader.read_line(&mut request_line).ok().filter(|length| *length > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
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
    reader.read_exact(&mut body).ok()?;
    let line = request_line.trim().to_owned();
    Some(Request { line, id, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Answers the requests of one connection until it ends.
fn serve_connection(stream: TcpStream, respond: impl Fn(&Request) -> String) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader) {
        if stream.write_all(respond(&request).as_bytes()).is_err() {
            return;
        }
    }
}

fn serve(address: &'static str, handle: fn(TcpStream)) -> thread::JoinHandle<()> {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || handle(stream));
        }
    })
}

fn platform(stream: TcpStream) {
    let watch = Mutex::new(stream.try_clone().expect("a handle"));
    serve_connection(stream, |request| {
        if request.line.starts_with("POST /reports") {
            request.body.lines().for_each(|line| println!("report: {line}"));
            return "HTTP/1.1 204 No Content\r\n\r\n".into();
        }
        // Any other request is a watch of the endpoint list. It stays open until the connection ends; an empty line
        // every two seconds shows that the platform is alive.
        let list = LIST.replace('\n', "") + "\n";
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut watch = watch.lock().expect("unpoisoned");
        let mut written = write!(watch, "{head}{:x}\r\n{list}\r\n", list.len());
        while written.is_ok() {
            thread::sleep(Duration::from_secs(2));
            written = watch.write_all(b"1\r\n\n\r\n");
        }
        String::new()
    });
}

fn endpoint_one(stream: TcpStream) {
    serve_connection(stream, |Request { line, id, body }| {
        println!("endpoint 1: {line}: {id}: {}: delivered", body.replace("\r\n", " "));
        let delivered = body
            .lines()
            .filter_map(|line| line.split_once(" "))
            .map(|part| format!("{} delivered\r\n", part.0));
        let results: String = if line.contains(":batch") { delivered.collect() } else { String::new() };
        format!(
            "HTTP/1.1 200 OK\r\nX-Load: x0=0.9,x1=20\r\nContent-Length: {}\r\n\r\n{results}",
            results.len()
        )
    });
}

fn endpoint_two(stream: TcpStream) {
    static SEEN_IDS: Mutex<Option<HashSet<String>>> = Mutex::new(None);
    serve_connection(stream, |Request { id, body, .. }| {
        let is_first = SEEN_IDS.lock().expect("unpoisoned").get_or_insert_default().insert(id.to_owned());
        println!("endpoint 2: {id}: {body}: {}", if is_first { "rejected" } else { "delivered" });
        let status = if is_first { "429 Later\r\nX-RateLimit-Wait-Ms: 1000" } else { "200 OK" };
        format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
    });
}

fn main() {
    let servers = [
        serve("127.0.0.1:8500", platform),
        serve("127.0.0.1:8601", endpoint_one),
        serve("127.0.0.1:8602", endpoint_two),
    ];
    println!("the platform listens on 127.0.0.1:8500, endpoints 1 and 2 on ports 8601 and 8602");
    servers.into_iter().for_each(|server| server.join().expect("it serves"));
}
