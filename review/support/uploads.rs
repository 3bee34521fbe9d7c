//! Many clients come at once and send bodies of the size that the limits allow, over links that
//! take some seconds for them. A VM that goes over its memory is killed, as the platform does it.

#[path = "harness.rs"]
mod harness;

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// `memory_mb` of a machine of the site.
const MEMORY_BYTES: u64 = 260 << 20;
/// `body_bytes` of the limits.
const BODY_BYTES: usize = 4_194_304;
/// The time that a client's link takes for a body.
const UPLOAD: Duration = Duration::from_millis(3_000);
const PIECES: usize = 64;
/// How long a runner works on a request.
const WORK: Duration = Duration::from_millis(300);
/// The clients that send long bodies at other times, and while many come at once (2.5 times).
const UPLOADERS: usize = 16;
const UPLOADERS_IN_BURST: usize = 40;
const BURST: Duration = Duration::from_secs(10);
/// The clients that send short requests, one after the other.
const POSTERS: usize = 12;
const CALM: Duration = Duration::from_secs(7);

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    answered: AtomicU64,
    /// Requests that a runner got, and whose channel, a kept one, was closed without an answer.
    lost: AtomicU64,
    /// The requests that a runner got.
    runs: Mutex<HashSet<String>>,
}

fn main() {
    let record = Record::create();
    let folder = Folder::create("review-uploads");
    let code = run(&record, &folder);
    drop(folder);
    exit(code);
}

fn run(record: &Arc<Record>, folder: &Folder) -> i32 {
    let network = Network::new();
    let store = Store::default();
    let counts = Arc::new(Counts::default());
    for (index, (zone, _)) in ZONES.iter().enumerate() {
        let counts = counts.clone();
        serve(network.runner(index), move |stream| {
            let _ = run_requests(stream, index, &counts);
        });
        let entry = runner_entry("list-portal", network.runner(index), zone, "v1", 64, "ready");
        store.put(&format!("servers/i-{index}"), &entry);
    }
    let routes = [
        route("list-upload", "/upload/", "unsafe", 15_000, 10_000, "list-portal", ""),
        route("list-post", "/post/", "unsafe", 15_000, 2_000, "list-portal", ""),
    ];
    store.put("op/config", &config(1, &routes, &[service("list-portal", 370)]));
    store.serve(network.store());
    let mut gateways: Vec<Gateway> =
        match (0..3).map(|index| Gateway::start(&network, index, &folder.0)).collect() {
            Ok(gateways) => gateways,
            Err(error) => {
                record.line(format!("a gateway could not be started: {error}"));
                return COULD_NOT_RUN;
            }
        };
    if !(0..3).all(|index| wait_ready(network.vm(index, "ready"), Duration::from_secs(10))) {
        record.line("a gateway is not ready");
        return COULD_NOT_RUN;
    }
    let stop = StopFlag::default();
    let address = network.vm(0, "frontend");
    let mut clients = Vec::new();
    let mut start = |name: &'static str, count: usize, body_bytes: usize, upload: Duration| {
        for client in 0..count {
            let (record, counts, stop) = (record.clone(), counts.clone(), stop.clone());
            clients.push(thread::spawn(move || {
                let name = format!("{name}-{client}");
                send_requests(&name, address, body_bytes, upload, &record, &counts, &stop)
            }));
        }
    };
    start("post", POSTERS, 600, Duration::ZERO);
    start("upload", UPLOADERS, BODY_BYTES, UPLOAD);
    let mut peak = 0;
    let is_within = |gateway: &mut Gateway, time: Duration, peak: &mut u64| {
        let started = Instant::now();
        while started.elapsed() < time {
            let memory = gateway.memory();
            *peak = memory.max(*peak);
            if memory > MEMORY_BYTES {
                gateway.signal(SIGKILL);
                record.line(format!("{} has {} MB, more than memory_mb: killed", gateway.name, memory >> 20));
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    };
    let mut is_alive = is_within(&mut gateways[0], CALM, &mut peak);
    record.line(format!("calm: at most {} MB with {UPLOADERS} uploads at a time, {} requests lost", peak >> 20, counts.lost.load(Ordering::Relaxed)));
    if is_alive && has_trouble() {
        record.line(format!("burst: {UPLOADERS_IN_BURST} uploads at a time for {} s", BURST.as_secs()));
        start("burst", UPLOADERS_IN_BURST - UPLOADERS, BODY_BYTES, UPLOAD);
    }
    is_alive = is_alive && is_within(&mut gateways[0], BURST, &mut peak);
    thread::sleep(Duration::from_millis(500));
    let lost = counts.lost.load(Ordering::Relaxed);
    stop.set();
    if is_alive {
        clients.into_iter().for_each(|client| drop(client.join()));
    }
    record.line(format!(
        "requests sent {}, run {}, answered {}, lost on kept channels after their runner got them {lost}",
        counts.sent.load(Ordering::Relaxed),
        counts.runs.lock().unwrap().len(),
        counts.answered.load(Ordering::Relaxed)
    ));
    record.line(format!("memory of {}: at most {} MB of {} MB", gateways[0].name, peak >> 20, MEMORY_BYTES >> 20));
    if counts.answered.load(Ordering::Relaxed) == 0 {
        return COULD_NOT_RUN;
    }
    // "More than three times, at any time".
    if lost > 3 { BROKEN } else { HELD }
}

/// A sound runner.
fn run_requests(mut stream: TcpStream, index: usize, counts: &Counts) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let id = request.header("x-foldhaven-attempt-id").unwrap_or("").to_owned();
        if id.is_empty() {
            write!(stream, "HTTP/1.1 200 OK\r\nX-Foldhaven-Instance-Id: i-{index}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        counts.runs.lock().unwrap().insert(id.clone());
        thread::sleep(WORK);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Server-Seal: seal-{id}\r\nContent-Length: 2\r\n\r\nok"
        )?;
    }
    Ok(())
}

/// A client: sends one request after the other on a kept channel.
fn send_requests(name: &str, address: SocketAddr, body_bytes: usize, upload: Duration, record: &Record, counts: &Counts, stop: &StopFlag) {
    let path = if upload.is_zero() { "/post/x" } else { "/upload/x" };
    let piece = vec![b'b'; body_bytes / PIECES];
    let Ok(mut stream) = connect(address) else { return };
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut number = 0;
    while !stop.is_set() {
        number += 1;
        let id = format!("{name}-{number}");
        let length = piece.len() * PIECES;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: lists.example\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Deadline-Remaining-Ms: 15000\r\nContent-Length: {length}\r\n\r\n"
        );
        let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
        let started = Instant::now();
        for done in 1..=PIECES {
            is_sent = is_sent && stream.write_all(&piece).is_ok();
            thread::sleep((upload * done as u32 / PIECES as u32).saturating_sub(started.elapsed()));
        }
        if !is_sent {
            return;
        }
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let sent = Instant::now();
        let answer = read_answer(&mut reader, |_| {});
        match answer.is_whole {
            true => counts.answered.fetch_add(1, Ordering::Relaxed),
            false => {
                let ms = sent.elapsed().as_millis();
                let is_run = counts.runs.lock().unwrap().contains(&id);
                record.line(format!(
                    "client: {id} ({length} bytes, run by its runner: {is_run}) was closed without an answer {ms} ms after it was sent"
                ));
                // The first request of a channel came on a new one.
                if number > 1 && is_run {
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                }
                return;
            }
        };
        if answer.status() != 200 {
            record.line(format!("client: {id} got status {}", answer.status()));
        }
    }
}
