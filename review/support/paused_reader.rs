//! Clients pause while they read an answer that is longer than their receive buffer.

#[path = "harness.rs"]
mod harness;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const CLIENTS: usize = 8;
/// The bytes of the longest answer of the kind of request, and of a usual one.
const LONG_BYTES: usize = 4_800;
const SHORT_BYTES: usize = 800;
/// How long a client pauses, and after how many bytes.
const PAUSE: Duration = Duration::from_millis(2_500);
const BYTES_BEFORE_PAUSE: usize = 512;
const DEADLINE_MS: u64 = 6_000;
const TIMEOUT_MS: u64 = 3_000;
/// The receive buffer of a client's socket.
const RECEIVE_BUFFER: i32 = 2 << 10;

#[derive(Default)]
struct Counts {
    /// The long answers that runners have sent whole.
    runs: AtomicU64,
    whole: AtomicU64,
    lost: AtomicU64,
}

fn main() {
    let record = Record::create();
    let folder = Folder::create("review-paused-reader");
    let code = run(&record, &folder);
    drop(folder);
    exit(code);
}

fn run(record: &Arc<Record>, folder: &Folder) -> i32 {
    let network = Network::new();
    let store = Store::default();
    let counts = Arc::new(Counts::default());
    for (index, (zone, _)) in ZONES.iter().enumerate() {
        let (record, counts) = (record.clone(), counts.clone());
        serve(network.runner(index), move |stream| {
            let _ = run_requests(stream, index, &record, &counts);
        });
        let entry = runner_entry("ledger", network.runner(index), zone, "v1", 6, "ready");
        store.put(&format!("servers/i-{index}"), &entry);
    }
    let routes = [route("birth-lookup", "/birth/", "unsafe", TIMEOUT_MS, 400, "ledger", "")];
    store.put("op/config", &config(1, &routes, &[service("ledger", 110)]));
    store.serve(network.store());
    let gateways: Vec<Gateway> =
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
    thread::sleep(Duration::from_secs(6));
    record.line("three VMs have been ready for contact_ms and more");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, counts) = (record.clone(), counts.clone());
            let address = network.vm(0, "frontend");
            thread::spawn(move || read_with_pause(client, address, &record, &counts))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(gateways);
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (runs, whole, lost) = (get(&counts.runs), get(&counts.whole), get(&counts.lost));
    record.line(format!(
        "long answers sent whole by runners {runs}, received whole by clients {whole}, lost on kept channels {lost}"
    ));
    if runs != CLIENTS as u64 {
        record.line("not every request was run, so the case says nothing");
        return COULD_NOT_RUN;
    }
    // "More than three times, at any time".
    if lost > 3 { BROKEN } else { HELD }
}

/// A sound runner: answers each request at once and whole.
fn run_requests(mut stream: TcpStream, index: usize, record: &Record, counts: &Counts) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let id = request.header("x-foldhaven-attempt-id").unwrap_or("").to_owned();
        if id.is_empty() {
            write!(stream, "HTTP/1.1 200 OK\r\nX-Foldhaven-Instance-Id: i-{index}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let is_long = request.target().ends_with("/long");
        let length = if is_long { LONG_BYTES } else { SHORT_BYTES };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Server-Seal: seal-{id}\r\nContent-Length: {length}\r\n\r\n"
        )?;
        stream.write_all(&vec![b'x'; length])?;
        if is_long {
            counts.runs.fetch_add(1, Ordering::Relaxed);
            record.line(format!("runner i-{index} ran {id} and sent its whole answer"));
        }
    }
    Ok(())
}

/// A client: gets a short answer, and on the same channel a long one, in which it pauses.
fn read_with_pause(client: usize, address: SocketAddr, record: &Record, counts: &Counts) {
    let Ok(mut stream) = connect_with_buffer(address, RECEIVE_BUFFER) else { return };
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::with_capacity(512, reader);
    for kind in ["short", "long"] {
        let id = format!("{kind}-{client}");
        let request = format!(
            "POST /birth/{kind} HTTP/1.1\r\nHost: lists.example\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Deadline-Remaining-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return;
        }
        let started = Instant::now();
        let mut left = BYTES_BEFORE_PAUSE;
        let answer = read_answer(&mut reader, |count| {
            if has_trouble() && left > 0 && left <= count {
                record.line(format!("client reads nothing more of {id} for {} ms", PAUSE.as_millis()));
                thread::sleep(PAUSE);
            }
            left = left.saturating_sub(count);
        });
        let ms = started.elapsed().as_millis();
        let (bytes, status) = (answer.body.len(), answer.status());
        let ended = if answer.is_whole { "whole" } else { "the gateway closed the channel" };
        record.line(format!("client got {id}: status {status}, {bytes} bytes, {ended}, after {ms} ms"));
        match (kind, answer.is_whole) {
            ("short", true) => {}
            ("short", false) => return,
            (_, true) => drop(counts.whole.fetch_add(1, Ordering::Relaxed)),
            (_, false) => drop(counts.lost.fetch_add(1, Ordering::Relaxed)),
        }
    }
}
