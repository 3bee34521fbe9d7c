//! Runners crash while they send streams, of which some have no length and no chunks.
//!
//! Callers send streams for some seconds to two daemons with some runners, each a process of its own.
//! For five seconds, half of the runners send at most one in twenty of their answers without a
//! length, up to the end of the connection. In that time, a quarter of the runners is killed. With
//! `TROUBLE=0`, no runner is killed. A stream that ends as complete before its last piece breaks ORDER.
//!
//! `first`: one of four runners is killed, and any answer may have no length. `resumed`: two of eight
//! runners are killed, one 0.3 s after the other, and only answers that resume a stream have no
//! length.

mod common;

use std::collections::{BTreeMap, HashSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    AnswerEnd, Daemon, Folder, SetupResult, call, loopback, read_head, read_request_body,
    start_store,
};

/// The number of events in each stream.
const EVENTS: u32 = 20;
/// The pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(100);
/// At most one in this many answers has no length, at a runner that sends such answers.
const UNFRAMED_ONE_IN: u64 = 20;
/// When the runners begin to send such answers, after the first requests.
const UNFRAMED_FROM: Duration = Duration::from_secs(2);
/// For how long they send them.
const UNFRAMED_FOR: Duration = Duration::from_secs(5);
/// How long callers begin new streams.
const TRAFFIC: Duration = Duration::from_secs(9);
/// The deadline of each stream.
const REMAINING_MS: u64 = 8_000;
const SLOTS: u32 = 64;

/// What one of the cases does.
struct CasePlan {
    /// The number of runners. The first half of them sends answers without a length.
    runners: usize,
    /// Which of their answers have none, as a runner's argument.
    unframed: &'static str,
    /// The number of callers, each with one stream at a time.
    callers: usize,
    /// When runners are killed: each time the one that is sending most answers without a length or, if
    /// none does, the last one.
    kills: &'static [Duration],
}

const FIRST: CasePlan =
    CasePlan { runners: 4, unframed: "any", callers: 240, kills: &[Duration::from_millis(5_500)] };
const RESUMED: CasePlan = CasePlan {
    runners: 8,
    unframed: "resumed",
    callers: 480,
    kills: &[Duration::from_millis(5_200), Duration::from_millis(5_500)],
};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments.as_slice() {
        ["runner", runner @ ..] => run_runner(runner).map(|()| ExitCode::SUCCESS),
        ["first", record] => run_case(&FIRST, Path::new(record)),
        ["resumed", record] => run_case(&RESUMED, Path::new(record)),
        _ => Err("the case and its record expected".into()),
    };
    result.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        ExitCode::from(2)
    })
}

/// Runs a runner until it is killed. Its arguments are its name, its address, the file in which it
/// records what it runs, and which of its answers may have no length.
fn run_runner(arguments: &[&str]) -> SetupResult<()> {
    let [name, address, record, unframed] = arguments else {
        return Err("four arguments expected".into());
    };
    let runner = Arc::new(Runner {
        name: name.to_string(),
        unframed: unframed.to_string(),
        first_request: Mutex::new(None),
        counts: Mutex::new((0, 0)),
        record: Mutex::new(OpenOptions::new().create(true).append(true).open(record)?),
    });
    common::serve(address.parse()?, move |stream| {
        // A daemon that has left is no failure of the runner.
        let _ = runner.serve(stream);
    })?;
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

struct Runner {
    name: String,
    /// Which answers may have no length: `none`, `any`, or `resumed` ones.
    unframed: String,
    first_request: Mutex<Option<Instant>>,
    /// The number of answers in the time in which some have no length, and of those without one.
    counts: Mutex<(u64, u64)>,
    record: Mutex<File>,
}

impl Runner {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some((request, headers)) = read_head(&mut reader)? {
            read_request_body(&mut reader, &headers)?;
            let attempt = headers.get("x-foldhaven-attempt-id").cloned().unwrap_or_default();
            if headers.get("x-foldhaven-expect-instance").is_some_and(|name| *name != self.name) {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Foldhaven-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                )?;
                continue;
            }
            let after = headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            let is_unframed = self.is_next_unframed(after > 0);
            let framing = if is_unframed { "no length" } else { "chunks" };
            self.note(&format!("{attempt} begins, {framing}, after {after}: {request}"))?;
            self.answer(&mut stream, &attempt, after, is_unframed)?;
            self.note(&format!("{attempt} is complete"))?;
            if is_unframed {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Whether the next answer has no length. It is one in twenty at most.
    fn is_next_unframed(&self, is_resumed: bool) -> bool {
        let mut first = self.first_request.lock().expect("no holder panics");
        let since_first = first.get_or_insert_with(Instant::now).elapsed();
        if !(UNFRAMED_FROM..UNFRAMED_FROM + UNFRAMED_FOR).contains(&since_first) {
            return false;
        }
        let mut counts = self.counts.lock().expect("no holder panics");
        counts.0 += 1;
        let is_chosen = match self.unframed.as_str() {
            "any" => true,
            "resumed" => is_resumed,
            _ => false,
        };
        let is_unframed = is_chosen && (counts.1 + 1) * UNFRAMED_ONE_IN <= counts.0;
        counts.1 += u64::from(is_unframed);
        is_unframed
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        after: u32,
        is_unframed: bool,
    ) -> io::Result<()> {
        let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Foldhaven-Attempt-Id: {attempt}\r\nX-Foldhaven-Server-Seal: seal-{attempt}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        )?;
        for id in after + 1..=EVENTS {
            let event = format!("id: {id}\ndata: {attempt} {id} of {EVENTS}\n\n");
            match is_unframed {
                true => stream.write_all(event.as_bytes())?,
                false => write!(stream, "{:x}\r\n{event}\r\n", event.len())?,
            }
            thread::sleep(PAUSE);
        }
        if !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }

    fn note(&self, text: &str) -> io::Result<()> {
        writeln!(self.record.lock().expect("no holder panics"), "{} {text}", self.name)
    }
}

/// A runner's process, killed when this value is dropped.
struct RunnerProcess(Child);

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        // It may have been killed already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A stream, as its caller saw it.
struct SeenStream {
    attempt: String,
    path: &'static str,
    sent_ms: u128,
    ended_ms: u128,
    status: u16,
    events: u32,
    is_in_order: bool,
    end: Option<AnswerEnd>,
}

impl SeenStream {
    fn is_success(&self) -> bool {
        self.status == 200 && matches!(self.end, Some(AnswerEnd::Framed | AnswerEnd::Orderly))
    }

    /// Whether ORDER is broken: the stream ends as complete before its last piece, or its pieces are
    /// not those of the stream in their order.
    fn is_violation(&self) -> bool {
        self.is_success() && (self.events != EVENTS || !self.is_in_order)
    }
}

fn run_case(plan: &CasePlan, record: &Path) -> SetupResult<ExitCode> {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Folder::create()?;
    let runner_records = folder.0.join("runners");
    let store = SocketAddr::new(loopback(10), 8142);
    let runner_address = |number: usize| SocketAddr::new(loopback(20 + number as u8), 8080);
    let mut items = vec![("op/config".to_owned(), config())];
    let mut runners = Vec::new();
    for number in 0..plan.runners {
        let (name, address) = (format!("i-{number}"), runner_address(number));
        let unframed = if number < plan.runners / 2 { plan.unframed } else { "none" };
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["runner", &name, &address.to_string()]).arg(&runner_records).arg(unframed);
        runners.push(RunnerProcess(command.stdin(Stdio::null()).spawn()?));
        items.push((
            format!("servers/{name}"),
            format!(
                "{{\"service\":\"bench\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":{SLOTS},\
                 \"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1}}"
            ),
        ));
    }
    start_store(store, items)?;
    let seeds = [loopback(1), loopback(2)];
    let mut daemons = Vec::new();
    for (number, ip) in seeds.into_iter().enumerate() {
        daemons.push(Daemon::start(&folder.0, &format!("frontend-{number}"), ip, store, &seeds)?);
    }
    for daemon in &mut daemons {
        daemon.await_ready()?;
    }
    thread::sleep(Duration::from_secs(2));

    let started = Instant::now();
    let callers: Vec<_> = (0..plan.callers)
        .map(|number| {
            let address = daemons[number % daemons.len()].caller();
            thread::spawn(move || send_streams(number, address, started))
        })
        .collect();
    let mut killed = Vec::new();
    for at in plan.kills.iter().filter(|_| has_trouble) {
        thread::sleep(at.saturating_sub(started.elapsed()));
        let runner = unframed_runner(&fs::read_to_string(&runner_records)?, plan.runners);
        runners[runner].0.kill()?;
        killed.push((runner, started.elapsed().as_millis()));
    }
    let seen: Vec<SeenStream> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect();
    drop(daemons);
    drop(runners);
    let runs = fs::read_to_string(&runner_records)?;
    write_record(record, &seen, &runs, &killed)?;

    let violations = seen.iter().filter(|stream| stream.is_violation()).count();
    let served = seen.iter().filter(|stream| stream.is_success()).count();
    println!(
        "{} streams sent, {served} ended as complete, {violations} of them before their last piece",
        seen.len()
    );
    if served * 2 < seen.len() {
        return Err("fewer than half of the streams were served".into());
    }
    Ok(ExitCode::from(u8::from(violations > 0)))
}

/// Returns the runner that is sending most answers without a length, by what the runners recorded, or
/// the last one if none does.
fn unframed_runner(runs: &str, runners: usize) -> usize {
    let open = |name: &str| {
        let lines = || runs.lines().filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        let ended: HashSet<&str> =
            lines().filter_map(|line| line.strip_suffix(" is complete")).collect();
        let begun = lines().filter_map(|line| Some(line.split_once(" begins, no length")?.0));
        begun.filter(|attempt| !ended.contains(attempt)).count()
    };
    (0..runners).max_by_key(|number| open(&format!("i-{number}"))).unwrap_or_default()
}

/// Returns the configuration: a route whose streams may be resumed, and one whose streams may not.
fn config() -> String {
    let route = |name: &str, resumable: bool, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"path_prefix\":\"/{name}/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
             \"target_latency_ms\":1000,\"priority\":1,\"service\":\"bench\",\"max_attempts\":{attempts},\
             \"session_affinity\":false,\"resumable\":{resumable},\"gap_target_ms\":400,\"home_regions\":[]}}",
            common::HOST
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"bench\",\"health_path\":\"/health\",\
         \"connection_limit\":370,\"cold_start_s\":3.0,\"cold_per_s\":9.7}}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("lookup", true, 2),
        route("digest", false, 1)
    )
}

/// Sends one stream after another, and returns what was seen of them.
fn send_streams(caller: usize, address: SocketAddr, started: Instant) -> Vec<SeenStream> {
    let path = if caller % 4 < 2 { "/lookup/x" } else { "/digest/x" };
    let mut seen = Vec::new();
    // The callers begin one after another, so that the events of their streams are spread.
    thread::sleep(Duration::from_millis(4 * caller as u64));
    while started.elapsed() < TRAFFIC {
        let attempt = format!("{caller:04x}{:04x}{:08x}", seen.len(), std::process::id());
        let sent_ms = started.elapsed().as_millis();
        let answer = call(address, "POST", path, &attempt, REMAINING_MS, "a question");
        let ended_ms = started.elapsed().as_millis();
        let stream = match answer {
            Ok(answer) => {
                let (events, is_in_order) = count_events(&answer.body, &attempt);
                let (status, end) = (answer.status, Some(answer.end));
                SeenStream { attempt, path, sent_ms, ended_ms, status, events, is_in_order, end }
            }
            Err(_) => SeenStream {
                attempt,
                path,
                sent_ms,
                ended_ms,
                status: 0,
                events: 0,
                is_in_order: true,
                end: None,
            },
        };
        if !stream.is_success() {
            thread::sleep(Duration::from_millis(400));
        }
        seen.push(stream);
    }
    seen
}

/// Returns the number of whole events, and whether they are the first ones of the stream in order.
fn count_events(body: &[u8], attempt: &str) -> (u32, bool) {
    let text = String::from_utf8_lossy(body);
    let events: Vec<&str> = text.split_inclusive("\n\n").collect();
    let is_event = |(number, event): (usize, &&str)| {
        let id = number + 1;
        **event == format!("id: {id}\ndata: {attempt} {id} of {EVENTS}\n\n")
    };
    (events.len() as u32, events.iter().enumerate().all(is_event))
}

/// Writes what was sent, answered and run.
fn write_record(
    path: &Path,
    seen: &[SeenStream],
    runs: &str,
    killed: &[(usize, u128)],
) -> io::Result<()> {
    let mut file = io::BufWriter::new(File::create(path)?);
    if killed.is_empty() {
        writeln!(file, "without the disruption: no runner was killed")?;
    }
    for (runner, at) in killed {
        writeln!(file, "runner i-{runner} was killed {at} ms after the first request")?;
    }
    let mut run_lines: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for line in runs.lines() {
        let attempt = line.split(' ').nth(1).unwrap_or_default();
        run_lines.entry(attempt).or_default().push(line);
    }
    writeln!(
        file,
        "\nstreams that ended as complete before their last piece, with what the runners recorded:"
    )?;
    for stream in seen.iter().filter(|stream| stream.is_violation()) {
        write_stream(&mut file, stream)?;
        for line in run_lines.get(stream.attempt.as_str()).into_iter().flatten() {
            writeln!(file, "    runner {line}")?;
        }
    }
    writeln!(file, "\nall streams, as their callers saw them:")?;
    for stream in seen {
        write_stream(&mut file, stream)?;
    }
    writeln!(file, "\nwhat the runners recorded:\n{runs}")?;
    file.flush()
}

fn write_stream(file: &mut impl Write, stream: &SeenStream) -> io::Result<()> {
    let SeenStream { attempt, path, sent_ms, ended_ms, status, events, end, .. } = stream;
    let end = match end {
        Some(AnswerEnd::Framed) => "complete by its framing",
        Some(AnswerEnd::Orderly) => "complete by an orderly end of its connection",
        Some(AnswerEnd::Broken) => "its connection broke",
        None => "no answer",
    };
    writeln!(
        file,
        "{sent_ms} to {ended_ms} ms {path} {attempt}: status {status}, {events} of {EVENTS} events, {end}"
    )
}
