//! The frames of forwarded streams show each missing part, whatever the events contain.

use bytes::Bytes;
use foldhaven_wire::event_frames::{EventFrameDecoder, EventFrameEncoder, MAX_FRAME_BYTES};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 500;

/// Returns events whose ids rise irregularly.
fn random_events(random: &mut StdRng, count: usize) -> Vec<String> {
    let mut id = 0_u64;
    let mut event = || {
        id += random.random_range(1..1_000);
        let data = "x".repeat(random.random_range(0..60));
        format!("id: {id}\ndata: {data}\n\n")
    };
    (0..count).map(|_| event()).collect()
}

/// Returns what a VM writes for a stream, a write for each event and one for the end.
fn writes_of(events: &[String]) -> Vec<Bytes> {
    let mut encoder = EventFrameEncoder::default();
    let mut writes: Vec<Bytes> =
        events.iter().map(|event| encoder.encode(event.as_bytes())).collect();
    writes.push(encoder.end());
    writes
}

/// Decodes what was received. Returns the events before the first error, and whether the stream is
/// complete.
fn decode(received: impl IntoIterator<Item = Bytes>) -> (String, bool) {
    let mut decoder = EventFrameDecoder::default();
    let mut text = String::new();
    for bytes in received {
        match decoder.push(bytes) {
            Ok(events) => text.push_str(std::str::from_utf8(&events).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, decoder.is_complete())
}

/// Guards against a stream that is changed or delayed by its division into packets.
#[test]
fn streams_arrive_whole_however_they_are_divided() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(0..40);
        let events = random_events(&mut random, count);
        let mut rest = writes_of(&events).concat();
        let mut received = Vec::new();
        while !rest.is_empty() {
            let tail = rest.split_off(random.random_range(1..=rest.len()));
            received.push(Bytes::from(std::mem::replace(&mut rest, tail)));
        }
        assert_eq!(decode(received), (events.concat(), true), "seed {seed}");
    }
}

/// Guards against passing on what follows missing events. After a partition of a link had healed,
/// a stream arrived without 73 whole events in its middle, each in a write of its own.
#[test]
fn nothing_is_passed_on_after_missing_writes() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(1..40);
        let events = random_events(&mut random, count);
        let mut writes = writes_of(&events);
        let start = random.random_range(0..writes.len());
        let end = random.random_range(start + 1..=writes.len());
        writes.drain(start..end);
        let (text, is_complete) = decode(writes);
        assert!(!is_complete, "seed {seed}");
        assert_eq!(text, events[..start].concat(), "seed {seed}");
    }
}

/// Guards against passing on a stream in which any part of the bytes is missing.
#[test]
fn a_stream_with_missing_bytes_is_never_complete() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let events = random_events(&mut random, 20);
        let mut bytes = writes_of(&events).concat();
        let start = random.random_range(0..bytes.len());
        let end = random.random_range(start + 1..=bytes.len());
        bytes.drain(start..end);
        let mut decoder = EventFrameDecoder::default();
        let is_accepted = decoder.push(bytes.into()).is_ok() && decoder.is_complete();
        assert!(!is_accepted, "seed {seed}");
    }
}

/// Guards against memory that grows with the length that a header announces.
#[test]
fn a_frame_has_a_maximum_length() {
    let events = "x".repeat(3 * MAX_FRAME_BYTES + 1);
    let mut encoder = EventFrameEncoder::default();
    let frames = [encoder.encode(events.as_bytes()), encoder.end()];
    assert_eq!(decode(frames), (events, true));
    let length = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();
    let header = [0_u32.to_be_bytes(), length.to_be_bytes()].concat();
    assert!(EventFrameDecoder::default().push(header.into()).is_err());
}
