//! The runners of a model service are replaced one after the other by a version that numbers the
//! events of its streams from 0, where the one before numbers them from 1.

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

const SERVICE: &str = "foldhaven-bench";
const RUNNERS: usize = 7;
/// The runners that are replaced, a share of 0.43.
const REPLACED: usize = 3;
const GAP: Duration = Duration::from_secs(1);
const DRAIN: Duration = Duration::from_millis(3_000);
const CLIENTS: usize = 12;
const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const CALM: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(12);

/// What happened to the streams.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    cut: AtomicU64,
    /// Those of the cut ones that came on a channel that had served a request before, and had no
    /// event yet.
    unanswered: AtomicU64,
    runs: AtomicU64,
    runs_whole: AtomicU64,
    runs_left: AtomicU64,
}

fn main() {
    let record = Record::create();
    let folder = Folder::create("review-event-ids");
    let code = run(&record, &folder);
    drop(folder);
    exit(code);
}

fn run(record: &Arc<Record>, folder: &Folder) -> i32 {
    let network = Network::new();
    let store = Store::default();
    let counts = Arc::new(Counts::default());
    let start_runner = |index: usize, zone: &str, first_id: u64, version: &str| {
        let (record, counts) = (record.clone(), counts.clone());
        let address = network.runner(index);
        serve(address, move |stream| {
            let _ = run_streams(stream, index, first_id, &record, &counts);
        });
        let entry = runner_entry(SERVICE, address, zone, version, 64, "ready");
        store.put(&format!("servers/i-{index}"), &entry);
    };
    for index in 0..RUNNERS {
        start_runner(index, ZONES[0].0, 1, "v1");
    }
    let more = ",\"session_affinity\":false,\"resumable\":false,\"gap_target_ms\":400";
    let routes = [route("case-digest", "/digest/", "streaming", 8_000, 1_000, SERVICE, more)];
    store.put("op/config", &config(1, &routes, &[service(SERVICE, 370)]));
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
    let stop = StopFlag::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, counts, stop) = (record.clone(), counts.clone(), stop.clone());
            let address = network.vm(0, "frontend");
            thread::spawn(move || ask_streams(client, address, &record, &counts, &stop))
        })
        .collect();
    thread::sleep(CALM);
    let cut_before = counts.cut.load(Ordering::Relaxed);
    record.line(format!("calm: {} streams sent, {cut_before} cut", counts.sent.load(Ordering::Relaxed)));
    let released = Instant::now();
    if has_trouble() {
        for index in 0..REPLACED {
            start_runner(RUNNERS + index, ZONES[0].0, 0, "v2");
            let draining = runner_entry(SERVICE, network.runner(index), ZONES[0].0, "v1", 64, "draining");
            store.put(&format!("servers/i-{index}"), &draining);
            record.line(format!("release: i-{} (v2) is ready, i-{index} (v1) is draining", RUNNERS + index));
            let store = store.clone();
            thread::spawn(move || {
                thread::sleep(DRAIN + Duration::from_secs(2));
                store.remove(&format!("servers/i-{index}"));
            });
            thread::sleep(GAP);
        }
    }
    thread::sleep(AFTER.saturating_sub(released.elapsed()));
    stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (cut, unanswered) = (get(&counts.cut), get(&counts.unanswered));
    record.line(format!(
        "streams sent {}, whole {}, refused {}, cut {cut}, of these without any event {unanswered}",
        get(&counts.sent), get(&counts.whole), get(&counts.refused)
    ));
    record.line(format!(
        "runs {}, sent whole by their runner {}, left by the gateway meanwhile {}",
        get(&counts.runs), get(&counts.runs_whole), get(&counts.runs_left)
    ));
    drop(gateways);
    if get(&counts.whole) == 0 {
        return COULD_NOT_RUN;
    }
    // "More than three times, at any time".
    if unanswered > 3 { BROKEN } else { HELD }
}

/// A sound runner: sends all events of each stream, and never breaks off.
fn run_streams(mut stream: TcpStream, index: usize, first_id: u64, record: &Record, counts: &Counts) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let id = request.header("x-foldhaven-attempt-id").unwrap_or("").to_owned();
        if id.is_empty() {
            write!(stream, "HTTP/1.1 200 OK\r\nX-Foldhaven-Instance-Id: i-{index}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        counts.runs.fetch_add(1, Ordering::Relaxed);
        let sent = send_events(&mut stream, &id, first_id);
        match &sent {
            Ok(()) => counts.runs_whole.fetch_add(1, Ordering::Relaxed),
            Err(_) => {
                record.line(format!("runner i-{index}: the gateway closed the channel while {id} was running"));
                counts.runs_left.fetch_add(1, Ordering::Relaxed)
            }
        };
        sent?;
    }
    Ok(())
}

fn send_events(stream: &mut TcpStream, id: &str, first_id: u64) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Server-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in first_id..first_id + EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// A client: asks for one stream after the other on a kept channel.
fn ask_streams(client: usize, address: SocketAddr, record: &Record, counts: &Counts, stop: &StopFlag) {
    let mut number = 0;
    while !stop.is_set() {
        let Ok(mut stream) = connect(address) else { return };
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        let mut is_kept = false;
        while !stop.is_set() {
            number += 1;
            let id = format!("digest-{client}-{number}");
            let request = format!(
                "POST /digest/case HTTP/1.1\r\nHost: lists.example\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Model: m\r\nX-Foldhaven-Token-Count: 1460,80\r\nX-Foldhaven-Deadline-Remaining-Ms: 8000\r\nContent-Length: 6\r\n\r\nprompt"
            );
            counts.sent.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(request.as_bytes()).is_err() {
                record.line(format!("client: {id} could not be sent"));
                break;
            }
            let answer = read_answer(&mut reader, |_| {});
            match (answer.status(), answer.is_whole) {
                (200, true) => counts.whole.fetch_add(1, Ordering::Relaxed),
                (429 | 503, true) => counts.refused.fetch_add(1, Ordering::Relaxed),
                (status, _) => {
                    let events = String::from_utf8_lossy(&answer.body).matches("\n\n").count();
                    let channel = if is_kept { "kept" } else { "new" };
                    record.line(format!(
                        "client: {id} on a {channel} channel: status {status}, the channel was closed after {events} of {EVENTS} events"
                    ));
                    if is_kept && events == 0 {
                        counts.unanswered.fetch_add(1, Ordering::Relaxed);
                    }
                    counts.cut.fetch_add(1, Ordering::Relaxed)
                }
            };
            if !answer.is_whole {
                break;
            }
            is_kept = true;
        }
    }
}
