//! Stand-ins for the platform's store and for callers, and the start of daemons, shared by the
//! cases of this review. Only the standard library is used.

use std::collections::HashMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The daemon, as the deploy file builds and starts it.
const DAEMON: &str = "target/release/foldhaven-platform";
/// The host of all routes.
pub const HOST: &str = "desk.example";
/// How long to wait for daemons to be ready.
const READY_TIME: Duration = Duration::from_secs(15);

pub type Headers = HashMap<String, String>;

/// A failure to run the case, which then exits with 2.
pub type SetupResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Returns an address of this run that no other process uses. Each process gets one of its own.
pub fn loopback(number: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (id >> 8 & 63) as u8, (id & 255) as u8, number))
}

/// Reads the first line and the headers of a message. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads the body of a request that has a length, or none.
pub fn read_request_body(reader: &mut impl Read, headers: &Headers) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Accepts connections in the background, each served by a thread of its own.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

/// Encodes bytes in standard Base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The platform's store, with items that do not change.
pub fn start_store(address: SocketAddr, items: Vec<(String, String)>) -> io::Result<()> {
    let revision = items.len() as u64 + 1;
    let mut items = items;
    items.sort();
    let item = |(number, (key, value)): (usize, &(String, String))| {
        format!(
            "{{\"private_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
            base64(value.as_bytes()),
            number + 2,
            number + 2
        )
    };
    let listed: Vec<String> = items.iter().enumerate().map(item).collect();
    let all =
        format!("{{\"items\":[{}],\"has_more\":false,\"timestamp\":{revision}}}", listed.join(","));
    serve(address, move |stream| {
        // A reader that has left is no failure of the store.
        let _ = serve_store(stream, &all, revision);
    })
}

fn serve_store(mut stream: TcpStream, all: &str, revision: u64) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((request, _)) = read_head(&mut reader)? {
        let body = match request.contains("/api/kv-watch") {
            true => {
                let wait =
                    request.split("wait_ms=").nth(1).and_then(|rest| rest.split(['&', ' ']).next());
                thread::sleep(Duration::from_millis(
                    wait.and_then(|text| text.parse().ok()).unwrap_or(0),
                ));
                format!("{{\"events\":[],\"timestamp\":{revision}}}")
            }
            false => all.to_owned(),
        };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

/// A daemon, killed when this value is dropped.
pub struct Daemon {
    pub ip: IpAddr,
    child: Child,
}

impl Daemon {
    /// Starts a daemon with the settings that the deploy file's template produces.
    pub fn start(
        folder: &Path,
        name: &str,
        ip: IpAddr,
        store: SocketAddr,
        seeds: &[IpAddr],
    ) -> SetupResult<Self> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:8146")).collect();
        let settings = format!(
            "vm: {name}\ndata_centre: hall-a\nregions: {{\"hall-a\":\"north\"}}\naddresses:\n  caller: {ip}:8144\n  \
             ready: {ip}:8140\n  directory: {ip}:8143\n  operator: {ip}:8146\n  peer: {ip}:7660\n  \
             metrics: {ip}:9464\nseeds: [{}]\nplatform: {store}\nlimits:\n  retry_ratio: 0.2\n  retry_extra: 58\n  \
             retry_window_s: 10\n  account_share: \n  account_extra: \n  account_window_s: \ncores: 0.25\ngrace_s: 8\n",
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.settings"));
        fs::write(&path, settings)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new(DAEMON);
        command.arg("--settings").arg(&path).stdin(Stdio::null());
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        Ok(Self { ip, child })
    }

    /// Returns the address for callers.
    pub fn caller(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8144)
    }

    /// Waits until the daemon says that it is ready.
    pub fn await_ready(&mut self) -> SetupResult<()> {
        let until = Instant::now() + READY_TIME;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Err(format!("a daemon ended at its start: {status}").into());
            }
            if is_ready(SocketAddr::new(self.ip, 8140)).unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("a daemon does not become ready".into())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    let head = read_head(&mut BufReader::new(stream))?;
    Ok(head.is_some_and(|(status, _)| status.contains(" 200")))
}

/// A temporary folder, removed when this value is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("foldhaven-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left of it hinders nobody.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// How an answer ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// By its last chunk or its length.
    Framed,
    /// By the end of the connection, in order, where nothing else shows its end.
    Orderly,
    /// The connection was reset, or ended before the last chunk.
    Broken,
}

/// An answer, as far as it was received.
pub struct CallerAnswer {
    pub status: u16,
    pub body: Vec<u8>,
    pub end: AnswerEnd,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    remaining_ms: u64,
    body: &str,
) -> io::Result<CallerAnswer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(remaining_ms + 2_000)))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Foldhaven-Attempt-Id: {attempt}\r\n\
         X-Foldhaven-Deadline-Remaining-Ms: {remaining_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut reader = BufReader::new(stream);
    let (status, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = status.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    let end = read_answer_body(&mut reader, &headers, &mut body);
    Ok(CallerAnswer { status, body, end })
}

fn read_answer_body(reader: &mut impl BufRead, headers: &Headers, body: &mut Vec<u8>) -> AnswerEnd {
    if headers.get("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        return match read_chunks(reader, body) {
            Ok(()) => AnswerEnd::Framed,
            Err(_) => AnswerEnd::Broken,
        };
    }
    if let Some(length) = headers.get("content-length").and_then(|text| text.parse().ok()) {
        body.resize(length, 0);
        return match reader.read_exact(body) {
            Ok(()) => AnswerEnd::Framed,
            Err(_) => AnswerEnd::Broken,
        };
    }
    match reader.read_to_end(body) {
        Ok(_) => AnswerEnd::Orderly,
        Err(_) => AnswerEnd::Broken,
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
