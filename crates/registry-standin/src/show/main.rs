//! `cedarbridge-registry-show`: starts a registry, partners, a platform agent, the forwarder and a load on loopback,
//! changes the registry's entries, and prints the timings of each change. It is bounded in time and ends what it
//! started.

use cedarbridge_registry_standin::{request, Instance, StandIn};
use clap::Parser;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Failure = Box<dyn std::error::Error>;

#[derive(Parser)]
#[command(name = "cedarbridge-registry-show", about = "Shows the forwarder reading a registry under load.")]
struct Args {
    /// The forwarder's program
    #[arg(long, default_value = "target/release/cedarbridge")]
    daemon: PathBuf,
    /// How long entries change
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Changes a second
    #[arg(long, default_value_t = 10)]
    changes: u64,
    /// Endpoints in the registry, two for each partner
    #[arg(long, default_value_t = 40)]
    endpoints: usize,
    /// Messages a second
    #[arg(long, default_value_t = 400)]
    rate: u64,
    /// How long the registry then says nothing, under load
    #[arg(long, default_value_t = 0)]
    silent: u64,
    /// Instances that the registry holds beside these, ten an application, for partners that get nothing
    #[arg(long, default_value_t = 0)]
    idle: usize,
    /// Print only the summary
    #[arg(long)]
    brief: bool,
}

/// The forwarder; ended when this is dropped.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
    Ok(address)
}

/// Answers every request of a connection.
fn converse(stream: TcpStream, answer: impl Fn(&str, &[u8]) -> &'static str) {
    let _ = stream.set_nodelay(true);
    let Ok(handle) = stream.try_clone() else { return };
    let (mut reader, mut stream) = (BufReader::new(handle), stream);
    while let Some((_, path, body)) = request(&mut reader) {
        if stream.write_all(answer(&path, &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// A platform agent whose list is empty, that counts notices.
fn platform(notices: Arc<AtomicU64>) -> std::io::Result<SocketAddr> {
    serve(move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(handle) = stream.try_clone() else { return };
        let mut reader = BufReader::new(handle);
        while let Some((method, _, body)) = request(&mut reader) {
            if method == "POST" {
                notices.fetch_add(body.iter().filter(|b| **b == b'\n').count() as u64, Ordering::SeqCst);
                let _ = writer.write_all(b"HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let list = "{\"generation\":1,\"reset\":true,\"instances\":[]}\n";
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let first = format!("{head}{:x}\r\n{list}\r\n", list.len());
            if writer.write_all(first.as_bytes()).is_err() {
                return;
            }
            while writer.write_all(b"1\r\n\n\r\n").is_ok() {
                thread::sleep(Duration::from_millis(1000));
            }
            return;
        }
    })
}

fn write_files(folder: &Path, discovery: SocketAddr, registry: &StandIn) -> std::io::Result<()> {
    let class = json!({"name": "notice", "semantics": "token", "promise": 2500.0, "deadline": 28000.0, "gain": 1.0,
        "late-worth": 0.3, "memory-span": 30000.0, "dedup-scope": "all"});
    let settings = json!({
        "azs": ["room"], "zone": "room", "balancers": 1, "kinds": ["plain"], "discovery": "pushed",
        "categories": [class], "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 100000.0}],
        "granularity": 5.0, "weight-source": "nominal", "fees": {}, "callers": {"marks-retry": true},
        "permissions": {"max-open": 20000, "max-attempts": 12, "cancel": true, "retry-after": true,
            "max-retry-after": 3000.0, "conn-idle": 5000.0, "dial-timeout": 1500.0},
        "rules": {"fall-multiple": 2.0, "fall": 3000.0, "cold": 9400.0, "cold-from": 0.23, "drain-grace": 250.0},
        "specifics": {"call-slots": 200, "late": "halving"},
    });
    let config = json!({
        "name": "show", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "5eed",
        "state": folder.join("state"), "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 2048, "disk_mb": 64},
    });
    std::fs::create_dir_all(folder.join("state"))?;
    std::fs::write(folder.join("config.json"), config.to_string())?;
    let site = format!(
        "version: 1\nregistry:\n  addresses: [\"{}\"]\n  poll: 100ms\n  timeout: 1s\n  \
         hold-down: {{first: 200ms, longest: 1s, forget: 2s}}\n",
        registry.url()
    );
    std::fs::write(folder.join("site.yaml"), site)
}

fn get(address: SocketAddr, path: &str) -> Result<String, Failure> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

fn counters(address: SocketAddr) -> Result<Value, Failure> {
    let answer = get(address, "/_counters")?;
    Ok(serde_json::from_str(answer.split("\r\n\r\n").nth(1).ok_or("no body")?)?)
}

/// Hands in messages at an even rate until told to stop; how many were taken and turned away.
fn load(to: SocketAddr, of: (u64, u64), rate: f64, partners: u64, stop: &AtomicBool) -> (u64, u64) {
    let (thread, threads) = of;
    let (mut taken, mut refused, mut next) = (0, 0, thread);
    let begun = Instant::now();
    let mut connection: Option<(BufReader<TcpStream>, TcpStream)> = None;
    while !stop.load(Ordering::SeqCst) {
        let due = Duration::from_secs_f64(next as f64 / rate);
        thread::sleep(due.saturating_sub(begun.elapsed()));
        let id = format!("m{next}");
        let head = format!(
            "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: notice\r\nX-Tenant: acme\r\nX-Deadline: 28000m\r\n\
             Idempotency-Key: {id}\r\nX-Addressing: dest={}\r\nContent-Length: 5\r\n\r\nhello",
            next % partners
        );
        next += threads;
        let open = || {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_nodelay(true).ok()?;
            Some((BufReader::new(stream.try_clone().ok()?), stream))
        };
        let Some((reader, writer)) = connection.as_mut().map(|c| (&mut c.0, &mut c.1)) else {
            connection = open();
            continue;
        };
        let mut line = String::new();
        let mut asked = || {
            writer.write_all(head.as_bytes()).ok()?;
            reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let status = line.split(' ').nth(1)?.to_owned();
            let mut length = 0;
            loop {
                let mut field = String::new();
                reader.read_line(&mut field).ok().filter(|n| *n > 0)?;
                match field.trim().split_once(": ") {
                    Some((n, v)) if n.eq_ignore_ascii_case("content-length") => length = v.parse().ok()?,
                    Some(_) => {}
                    None => break,
                }
            }
            reader.read_exact(&mut vec![0; length]).ok()?;
            Some(status)
        };
        match asked().as_deref() {
            Some("202") => taken += 1,
            Some(_) => refused += 1,
            None => connection = None,
        }
    }
    (taken, refused)
}

/// Reads the forwarder's log: where it listens, and what it tells of endpoints that left.
fn read_log(
    from: impl Read + Send + 'static,
    listen: Arc<Mutex<Option<SocketAddr>>>,
    left: Arc<Mutex<Vec<Value>>>,
) {
    thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            let Ok(v) = serde_json::from_str::<Value>(&line) else { continue };
            match v["msg"].as_str() {
                Some("serving") => {
                    *listen.lock().expect("sound") = v["listen"].as_str().and_then(|l| l.parse().ok());
                }
                Some("endpoint left") => left.lock().expect("sound").push(v),
                _ => {}
            }
        }
    });
}

fn soon<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> Result<T, Failure> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Some(found) = look() {
            return Ok(found);
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err(format!("never came: {what}").into())
}

/// Memory of a process now and at its peak, as the system tells it.
fn memory(pid: u32) -> Result<String, Failure> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let of =
        |key: &str| text.lines().find_map(|l| l.strip_prefix(key)).map(str::trim).unwrap_or("?").to_owned();
    Ok(format!("{} now, {} at its peak", of("VmRSS:"), of("VmHWM:")))
}

/// CPU seconds that a process has used, at the usual 100 ticks a second.
fn cpu(pid: u32) -> Result<f64, Failure> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = text.rsplit(") ").next().ok_or("no fields")?.split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) / 100.0)
}

fn row(v: &Value) -> String {
    let text = |key: &str| v[key].as_str().map_or_else(|| v[key].to_string(), str::to_owned);
    format!(
        "{:<10} {:<9} received at {:>12} µs   told to the module {:>8} ms later   last first byte {:>10} ms later",
        text("id"), text("lifecycle"), text("received_at"), text("observed_ms"), text("last_byte_ms")
    )
}

#[expect(clippy::too_many_lines, reason = "the script of one show, not split yet: see the roadmap")]
fn show(args: &Args) -> Result<(), Failure> {
    let folder = std::env::temp_dir().join(format!("cedarbridge-show-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let registry = StandIn::start()?;
    let served = Arc::new(AtomicU64::new(0));
    let partner = |n: usize, generation: u64, address| {
        Instance::partner(&format!("e{n}-{generation}"), address, n as u64 / 2, "plain", "room", 1000.0)
    };
    let mut addresses = Vec::new();
    for n in 0..args.endpoints {
        let served = served.clone();
        let address = serve(move |stream| {
            converse(stream, |_, _| {
                served.fetch_add(1, Ordering::SeqCst);
                // Work of a few milliseconds, so that calls are under way at each change.
                thread::sleep(Duration::from_millis(5));
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            });
        })?;
        registry.put(partner(n, 0, address));
        addresses.push(address);
    }
    for n in 0..args.idle {
        let address = SocketAddr::from(([127, 1 + (n >> 16) as u8, (n >> 8) as u8, n as u8], 9));
        let partner = 1_000_000 + n as u64 / 10;
        let mut idle = Instance::partner(&format!("idle-{n}"), address, partner, "plain", "room", 5.0);
        idle.app = format!("IDLE{}", n / 10);
        registry.put(idle);
    }
    // All of this came long ago.
    registry.lose_deltas();
    let notices = Arc::new(AtomicU64::new(0));
    write_files(&folder, platform(notices.clone())?, &registry)?;
    let mut command = Command::new(&args.daemon);
    command.arg("run").arg(folder.join("config.json")).arg("--site").arg(folder.join("site.yaml"));
    for name in ["NAME", "LISTEN", "DISCOVERY", "STATE", "CONFIG"] {
        command.env_remove(format!("ROUTER_{name}"));
    }
    let child = command.args(["--log-format", "json"]).stderr(Stdio::piped()).spawn();
    let mut daemon = Daemon(child.map_err(|e| format!("{}: {e}", args.daemon.display()))?);
    let (listen, left) = (Arc::default(), Arc::default());
    read_log(daemon.0.stderr.take().ok_or("no log")?, Arc::clone(&listen), Arc::clone(&left));
    let to = soon("the forwarder's address", || *listen.lock().expect("sound"))?;
    let wanted = (args.endpoints + args.idle) as u64;
    soon("the registry's entries", || {
        counters(to).ok().filter(|c| c["registry"]["entries"].as_u64() == Some(wanted))
    })?;
    let pid = daemon.0.id();
    println!("{wanted} entries held; the forwarder's memory: {}", memory(pid)?);
    let (cpu_before, since) = (cpu(pid)?, Instant::now());
    let stop = Arc::new(AtomicBool::new(false));
    let threads = 8;
    let loads: Vec<_> = (0..threads)
        .map(|t| {
            let (stop, rate, partners) = (stop.clone(), args.rate as f64, (args.endpoints / 2).max(1) as u64);
            thread::spawn(move || load(to, (t, threads), rate, partners, &stop))
        })
        .collect();
    // Entries change: out of service and back, or replaced by another id at the same address.
    let mut generations = vec![0u64; args.endpoints];
    let mut out = vec![false; args.endpoints];
    let begun = Instant::now();
    for change in 0..args.seconds * args.changes {
        let n = (change as usize * 7) % args.endpoints;
        let id = format!("e{n}-{}", generations[n]);
        if out[n] {
            registry.set_status(&id, "UP");
            out[n] = false;
        } else if change % 5 == 4 {
            registry.delete(&id);
            generations[n] += 1;
            registry.put(partner(n, generations[n], addresses[n]));
        } else {
            registry.set_status(&id, ["OUT_OF_SERVICE", "DOWN"][change as usize % 2]);
            out[n] = true;
        }
        let due = Duration::from_secs_f64((change + 1) as f64 / args.changes as f64);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    (0..args.endpoints)
        .filter(|n| out[*n])
        .for_each(|n| registry.set_status(&format!("e{n}-{}", generations[n]), "UP"));
    thread::sleep(Duration::from_millis(1500));
    let before = counters(to)?;
    if args.silent > 0 {
        registry.set(|m| m.silent = true);
        thread::sleep(Duration::from_secs(args.silent));
        registry.set(|m| m.silent = false);
    }
    stop.store(true, Ordering::SeqCst);
    let sums = loads.into_iter().map(|l| l.join().unwrap_or_default());
    let (taken, refused) = sums.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    let (used, span) = (cpu(pid)? - cpu_before, since.elapsed().as_secs_f64());
    println!("CPU of the forwarder: {used:.2} s in {span:.0} s; its memory: {}", memory(pid)?);
    let after =
        soon("the end of all messages", || counters(to).ok().filter(|c| c["open"].as_u64() == Some(0)))?;
    let ended = Command::new("kill").arg(daemon.0.id().to_string()).status()?;
    if !ended.success() || !soon("the forwarder's end", || daemon.0.try_wait().ok().flatten())?.success() {
        return Err("the forwarder did not end in order".into());
    }
    let left = left.lock().expect("sound");
    let mut last = Histogram::<u64>::new(3)?;
    let mut told = Histogram::<u64>::new(3)?;
    for v in left.iter() {
        if !args.brief {
            println!("{}", row(v));
        }
        let micros = |key: &str| (v[key].as_f64().unwrap_or(0.0).max(0.0) * 1000.0) as u64;
        last.record(micros("last_byte_ms"))?;
        told.record(micros("observed_ms"))?;
    }
    let ms = |t: u64| t as f64 / 1000.0;
    for (what, h) in [("learnt to told", &told), ("learnt to last first byte", &last)] {
        let at = |q| ms(h.value_at_quantile(q));
        println!(
            "{what}: {} changes, p50 {} ms, p99 {} ms, largest {} ms",
            h.len(),
            at(0.5),
            at(0.99),
            ms(h.max())
        );
    }
    println!("registry: {}", after["registry"]);
    let of = |c: &Value, key: &str| c[key].as_u64().unwrap_or(0);
    println!(
        "messages: {taken} taken, {refused} turned away, {} delivered, {} failed, {} returned, {} notices; partners served {}",
        of(&after, "delivered"), of(&after, "failed"), of(&after, "returned"),
        notices.load(Ordering::SeqCst), served.load(Ordering::SeqCst)
    );
    if args.silent > 0 {
        let during = |key: &str| of(&after, key) - of(&before, key);
        println!(
            "silent for {} s: {} delivered, {} failed, {} returned, {} turned away",
            args.silent,
            during("delivered"),
            during("failed"),
            during("returned"),
            during("unavailable")
        );
    }
    std::fs::remove_dir_all(&folder)?;
    if taken != of(&after, "delivered") + of(&after, "failed") + of(&after, "returned") {
        return Err("a message was lost".into());
    }
    Ok(())
}

fn main() -> ExitCode {
    match show(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cedarbridge-registry-show: {e}");
            ExitCode::FAILURE
        }
    }
}
