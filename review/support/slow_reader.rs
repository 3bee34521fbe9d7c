//! A VM is stopped while clients are still reading answers that its runner has sent completely.

#[path = "harness.rs"]
mod harness;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const CLIENTS: usize = 6;
/// The bytes of an answer.
const ANSWER_BYTES: usize = 15 << 20;
/// What a client reads in a second.
const READ_PER_S: f64 = 2.3e6;
/// The receive buffer of a client's socket.
const RECEIVE_BUFFER: i32 = 64 << 10;
/// When the VM gets SIGTERM, after the requests were sent.
const TERM_AT: Duration = Duration::from_millis(500);
const DEADLINE_MS: u64 = 15_000;

fn main() {
    let record = Record::create();
    let folder = Folder::create("review-slow-reader");
    let code = run(&record, &folder);
    drop(folder);
    exit(code);
}

fn run(record: &Arc<Record>, folder: &Folder) -> i32 {
    let network = Network::new();
    let store = Store::default();
    let runs = Arc::new(AtomicU64::new(0));
    for (index, (zone, _)) in ZONES.iter().enumerate() {
        let (record, runs) = (record.clone(), runs.clone());
        serve(network.runner(index), move |stream| {
            let _ = run_requests(stream, index, &record, &runs);
        });
        let entry = runner_entry("list-portal", network.runner(index), zone, "v1", 16, "ready");
        store.put(&format!("servers/i-{index}"), &entry);
    }
    let routes = [route("list-export", "/export/", "unsafe", DEADLINE_MS, 1_000, "list-portal", "")];
    store.put("op/config", &config(1, &routes, &[service("list-portal", 110)]));
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
    thread::sleep(Duration::from_secs(6));
    record.line("three VMs have been ready for contact_ms and more");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, address) = (record.clone(), network.vm(0, "frontend"));
            thread::spawn(move || read_slowly(client, address, &record))
        })
        .collect();
    let sent = Instant::now();
    thread::sleep(TERM_AT);
    if has_trouble() {
        gateways[0].signal(SIGTERM);
        record.line(format!("SIGTERM to {}, grace_s is 8", gateways[0].name));
        while sent.elapsed() < TERM_AT + Duration::from_secs(8) && !gateways[0].has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        let after = (sent.elapsed() - TERM_AT).as_millis();
        match gateways[0].has_ended() {
            true => record.line(format!("{} has ended by itself {after} ms after SIGTERM", gateways[0].name)),
            false => {
                gateways[0].signal(SIGKILL);
                record.line("SIGKILL after grace_s");
            }
        }
    }
    let whole: Vec<bool> = clients.into_iter().map(|client| client.join().unwrap_or(false)).collect();
    let lost = whole.iter().filter(|whole| !**whole).count();
    let ran = runs.load(Ordering::Relaxed);
    record.line(format!("requests sent {CLIENTS}, run by runners {ran}, answered whole {}, cut {lost}", CLIENTS - lost));
    if ran != CLIENTS as u64 {
        record.line("not every request was run, so the case says nothing");
        return COULD_NOT_RUN;
    }
    if lost > 0 { BROKEN } else { HELD }
}

/// A runner: answers each request at once and whole.
fn run_requests(mut stream: TcpStream, index: usize, record: &Record, runs: &AtomicU64) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let id = request.header("x-foldhaven-attempt-id").unwrap_or("").to_owned();
        if id.is_empty() {
            write!(stream, "HTTP/1.1 200 OK\r\nX-Foldhaven-Instance-Id: i-{index}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        runs.fetch_add(1, Ordering::Relaxed);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Server-Seal: seal-{id}\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
        )?;
        stream.write_all(&vec![b'x'; ANSWER_BYTES])?;
        record.line(format!("runner i-{index} ran {id} and sent its whole answer"));
    }
    Ok(())
}

/// A client: sends one request and reads its answer at the speed of its link. Returns whether the
/// answer arrived whole.
fn read_slowly(client: usize, address: std::net::SocketAddr, record: &Record) -> bool {
    let Ok(mut stream) = connect(address) else { return false };
    set_receive_buffer(&stream, RECEIVE_BUFFER);
    let id = format!("export-{client}");
    let request = format!(
        "POST /export/day HTTP/1.1\r\nHost: lists.example\r\nX-Foldhaven-Attempt-Id: {id}\r\nX-Foldhaven-Deadline-Remaining-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    record.line(format!("client sent {id}"));
    let started = Instant::now();
    let mut read = 0.0;
    let mut reader = BufReader::new(stream);
    let answer = read_answer(&mut reader, |count| {
        read += count as f64;
        let due = Duration::from_secs_f64(read / READ_PER_S);
        thread::sleep(due.saturating_sub(started.elapsed()));
    });
    let ms = started.elapsed().as_millis();
    let (bytes, status) = (answer.body.len(), answer.status());
    let ended = if answer.is_whole { "whole" } else { "cut" };
    record.line(format!("client got {id}: status {status}, {bytes} of {ANSWER_BYTES} bytes, {ended}, after {ms} ms"));
    answer.is_whole
}
