//! Tests of parsing and formatting quantities and identifiers.

use foldhaven_core::ids::{AccountName, AttemptId};
use foldhaven_core::units::{ByteSize, ShareRatio, TimeSpan, TokenRate};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("250ms", "250ms")]
#[case("1.5s", "1500ms")]
#[case("2m", "120s")]
#[case("1500us", "1500us")]
fn durations_are_parsed_and_formatted(#[case] text: &str, #[case] formatted: &str) {
    assert_eq!(text.parse::<TimeSpan>().unwrap().to_string(), formatted);
}

#[rstest]
#[case("5")]
#[case("s")]
#[case("-1s")]
#[case("1e9h")]
#[case("5 minutes")]
fn invalid_durations_are_refused(#[case] text: &str) {
    assert!(text.parse::<TimeSpan>().is_err());
}

#[test]
fn sizes_rates_and_shares_keep_their_units() {
    assert_eq!("64KiB".parse::<ByteSize>().unwrap(), ByteSize(65_536));
    assert_eq!("16GiB".parse::<ByteSize>().unwrap().to_string(), "16GiB");
    assert_eq!("4000tok/s".parse::<TokenRate>().unwrap().to_string(), "4000tok/s");
    assert_eq!("99.5%".parse::<ShareRatio>().unwrap().to_string(), "99.5%");
    assert!("0tok/s".parse::<TokenRate>().is_err());
    assert!("101%".parse::<ShareRatio>().is_err());
    assert!("12KB".parse::<ByteSize>().is_err());
}

#[rstest]
#[case("")]
#[case("a/b")]
#[case("späth")]
#[case("a b")]
fn invalid_names_are_refused(#[case] text: &str) {
    assert!(text.parse::<AccountName>().is_err());
}

proptest! {
    #[test]
    fn attempt_ids_are_parsed_and_formatted(
        request in "[a-z0-9.-]{1,20}",
        vm in "[a-z][a-z0-9-]{0,10}",
        incarnation: u64,
        number: u64,
    ) {
        let text = format!("{request}@{vm}.{incarnation}.{number}");
        let id: AttemptId = text.parse().unwrap();
        prop_assert_eq!(id.to_string(), text);
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in "\\PC{0,40}") {
        let _ = text.parse::<TimeSpan>();
        let _ = text.parse::<ByteSize>();
        let _ = text.parse::<AttemptId>();
        let _ = text.parse::<foldhaven_core::ticket::RequestTicket>();
        let _ = text.parse::<foldhaven_core::description::DescriptionStamp>();
    }
}
