//! Runs `foldhavenctl` against a fleet.

use std::path::Path;

use foldhaven_wire::platform::ValueBundle;
use foldhavenctl::ExitStatus;
use foldhavenctl::cmd::{make_command, run_command};

use crate::{run, small_fleet};

fn run_ctl(words: &[&str]) -> ExitStatus {
    let words = std::iter::once(&"foldhavenctl").chain(words);
    run_command(&make_command().try_get_matches_from(words).unwrap())
}

/// Runs the tool on a blocking thread, so that the runtime of the fleet is not blocked.
async fn run_ctl_blocking(words: Vec<String>) -> ExitStatus {
    let run = move || run_ctl(&words.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.unwrap()
}

fn split_words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

/// Publishes the values that the tool wrote to a file, as an operator does on the platform.
async fn publish(fleet: &foldhaven_testkit::fleet::Fleet, file: &Path) {
    // The file may exist before it is written completely, so retry until it can be parsed.
    let bundle: ValueBundle = loop {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        match serde_json::from_str(&text) {
            Ok(bundle) => break bundle,
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    };
    fleet.publish(&bundle).await.unwrap();
}

#[test]
fn a_description_is_applied_and_a_lost_race_is_reported() {
    run(async {
        let fleet = small_fleet(1).await;
        let address = fleet.vms["west-1-vm-1"].settings.addresses.peer;
        let mut edited = fleet.description.clone();
        edited.classes[0].worth = 11.0;
        let file = fleet.folder().join("edited.yaml");
        std::fs::write(&file, serde_saphyr::to_string(&edited).unwrap()).unwrap();
        let file = file.display().to_string();
        let out = fleet.folder().join("values.json");
        let out_text = out.display().to_string();
        assert_eq!(
            run_ctl_blocking(split_words(&format!("plan {file} --vm {address}"))).await,
            ExitStatus::Success
        );
        let apply =
            split_words(&format!("apply {file} --out {out_text} --wait 15s --vm {address}"));
        let (applied, ()) = tokio::join!(run_ctl_blocking(apply), publish(&fleet, &out));
        assert_eq!(applied, ExitStatus::Success);
        for command in [
            format!("status --vm {address}"),
            format!("status --json --vm {address}"),
            format!("explain --account west-bar --class digest --vm {address}"),
            format!("report --vm {address} --html {out_text}.html"),
            format!(
                "entries --caller {} --account mid-bar",
                fleet.vms["west-1-vm-1"].settings.addresses.caller
            ),
        ] {
            assert_eq!(
                run_ctl_blocking(split_words(&command)).await,
                ExitStatus::Success,
                "{command}"
            );
        }
        // Another operator edited the first description, which is no longer in force.
        let first = foldhaven_core::description::DescriptionIndex::new(fleet.description.clone());
        edited.parent = Some(first.stamp.to_string());
        std::fs::write(&file, serde_saphyr::to_string(&edited).unwrap()).unwrap();
        let late = split_words(&format!("apply {file} --out {out_text}.late --vm {address}"));
        assert_eq!(run_ctl_blocking(late).await, ExitStatus::LostRace);
        // This description is never published.
        edited.parent = None;
        std::fs::write(&file, serde_saphyr::to_string(&edited).unwrap()).unwrap();
        let never = split_words(&format!(
            "apply {file} --out {out_text}.never --wait 300ms --vm {address}"
        ));
        assert_eq!(run_ctl_blocking(never).await, ExitStatus::NotInForce);
    });
}
