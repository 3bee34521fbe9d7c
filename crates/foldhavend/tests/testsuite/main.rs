//! Tests of the daemon's settings.

use foldhavend::settings::DaemonSettings;
use rstest::rstest;

const TEXT: &str = "vm: west-1
data_centre: west-1
addresses: { caller: '127.0.0.1:7000', peer: '127.0.0.1:7001', control: '127.0.0.1:7002' }
platform: '127.0.0.1:7100'
";

fn read(text: &str) -> Result<DaemonSettings, String> {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    DaemonSettings::read(file.path()).map_err(|error| error.to_string())
}

#[test]
fn valid_settings_use_the_defaults() {
    let settings = read(TEXT).unwrap();
    assert_eq!(settings.threads, 2);
    assert_eq!(settings.times.heartbeat.to_string(), "500ms");
}

#[test]
fn example_settings_are_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/foldhavend.yaml");
    DaemonSettings::read(path.as_ref()).unwrap();
}

#[rstest]
#[case::same_addresses("7001", "7000", "addresses: expected three different addresses")]
#[case::unknown_field("platform", "plattform", "plattform")]
#[case::bad_name("vm: west-1", "vm: 'west 1'", "VM name")]
#[case::short_suspect("platform", "times: { suspect: 600ms }\nplatform", "times.suspect")]
#[case::no_threads("platform", "threads: 0\nplatform", "threads: expected at least 1")]
fn invalid_settings_name_the_field(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let error = read(&TEXT.replacen(from, to, 1)).unwrap_err();
    assert!(error.contains(expected), "{error}");
}
