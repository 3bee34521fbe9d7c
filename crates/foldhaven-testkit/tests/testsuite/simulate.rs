//! Simulations of hundreds of VMs that route requests to the engines of one region.

use std::path::Path;

use foldhaven_core::units::TimeSpan;
use foldhaven_testkit::simulate::{
    ChoicePolicy, Experiment, ServicePolicy, Trial, make_page, run_trial,
};
use rstest::rstest;

fn read(name: &str) -> Experiment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/simulate");
    Experiment::read(&folder.join(name)).unwrap()
}

fn experiment() -> Experiment {
    read("hundred-vms.yaml")
}

/// Returns the experiment shortened to 9 seconds, with the burst in the middle third.
fn short() -> Experiment {
    let mut experiment = experiment();
    experiment.length = TimeSpan::from_secs(9);
    experiment.steps[0].at = TimeSpan::from_secs(3);
    experiment.steps[1].at = TimeSpan::from_secs(6);
    experiment
}

/// With a hundred VMs in service, reports are 300 ms old. All VMs then send a burst to the few
/// engines that their reports show as free, and these refuse it. Eleven VMs that report to each
/// other every 50 ms avoid this.
#[test]
fn few_well_informed_vms_overload_no_engine() {
    let experiment = short();
    let all = run_trial(&experiment, ServicePolicy::All, ChoicePolicy::CostOfAll, 1);
    let order = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Cost, 1);
    assert_eq!((all.in_service, order.in_service), (100, 11));
    assert!(all.refused_arrivals > 0.01, "{}", all.refused_arrivals);
    assert!(order.refused_arrivals < 0.002, "{}", order.refused_arrivals);
    assert!(
        order.on_time_share > all.on_time_share + 0.02,
        "{} {}",
        order.on_time_share,
        all.on_time_share
    );
    assert!(order.opened < all.opened / 2.0, "{} {}", order.opened, all.opened);
}

/// The load rises to six times the base rate for some seconds; the engines can serve two thirds of
/// it. Without admission control nearly all requests would be answered late: 320 to 420 per second
/// in time, and 12% of arrivals refused. The result is weighted by request size, since a few large
/// requests count as much as many small ones, and compared with decisions on the actual queues,
/// which answer 765 to 883 requests in time in each of the last seconds of the peak.
#[test]
fn overload_keeps_goodput_high() {
    let mut experiment = short();
    experiment.steps[0].rate_factor = 6.0;
    let trial = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Cost, 1);
    let perfect = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Perfect, 1);
    assert!(trial.refused_arrivals < 0.02, "{}", trial.refused_arrivals);
    assert!(trial.on_time_share > 0.74, "{}", trial.on_time_share);
    for (counts, best) in trial.seconds[3..6].iter().zip(&perfect.seconds[3..6]) {
        assert!(counts.timely * 100 > best.timely * 90, "{counts:?} {best:?}");
        assert!(counts.late * 2 < counts.timely, "{counts:?}");
    }
    let after = &trial.seconds[7];
    assert!(after.timely * 100 > after.sent * 95, "back two seconds later: {after:?}");
}

/// 51 VMs handle a peak with reports that are 200 ms apart. If each VM took the cheapest of all
/// engines, they would fill a few engines and leave others idle: 37% of arrivals would be refused.
/// Few are refused because totals are updated with each report, the cheapest of a random sample is
/// chosen, and an engine counts as full after it refused a request.
#[test]
fn many_vms_with_stale_reports_handle_a_peak() {
    let mut experiment = read("peak.yaml");
    experiment.length = TimeSpan::from_secs(8);
    experiment.steps[1].at = TimeSpan::from_secs(6);
    let cost = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Cost, 1);
    let perfect = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Perfect, 1);
    assert_eq!(cost.in_service, 51);
    assert!(cost.refused_arrivals < 0.1, "{}", cost.refused_arrivals);
    assert!(
        cost.on_time_share > perfect.on_time_share - 0.06,
        "{} {}",
        cost.on_time_share,
        perfect.on_time_share
    );
    for (counts, best) in cost.seconds[3..6].iter().zip(&perfect.seconds[3..6]) {
        assert!(counts.timely * 100 > best.timely * 88, "{counts:?} {best:?}");
    }
}

/// The reports that VMs in service receive, and the quality of their decisions, don't depend on the
/// number of VMs that aren't in service.
#[test]
fn idle_vms_do_not_affect_vms_in_service() {
    let mut experiment = short();
    let hundred = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Cost, 1);
    experiment.vms.large = 18;
    experiment.vms.small = 282;
    experiment.vms.large_cores = "0.167".parse().unwrap();
    experiment.vms.small_cores = "0.04".parse().unwrap();
    let more = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Cost, 1);
    assert!(
        more.on_time_share > hundred.on_time_share - 0.03,
        "{} {}",
        more.on_time_share,
        hundred.on_time_share
    );
    assert!(
        more.received_reports_per_s < 500.0,
        "{} reports a second",
        more.received_reports_per_s
    );
}

/// Callers send the same requests under each policy, so that trials with one seed can be compared.
/// A trial with the same seed gives the same result.
#[test]
fn all_policies_get_the_same_requests() {
    let experiment = short();
    let sent = |trial: &Trial| trial.seconds.iter().map(|counts| counts.sent).collect::<Vec<_>>();
    let first = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Cost, 7);
    let random = run_trial(&experiment, ServicePolicy::All, ChoicePolicy::Random, 7);
    let again = run_trial(&experiment, ServicePolicy::Order, ChoicePolicy::Cost, 7);
    assert_eq!(sent(&first), sent(&random));
    assert_eq!(first.on_time_share.to_bits(), again.on_time_share.to_bits());
    for counts in first.seconds {
        assert_eq!(counts.sent, counts.timely + counts.late + counts.refused, "{counts:?}");
    }
}

#[test]
fn page_has_a_plot_for_each_trial() {
    let trial = run_trial(&short(), ServicePolicy::Order, ChoicePolicy::Perfect, 1);
    let page = make_page(&[trial]).unwrap();
    assert!(page.contains("<svg") && page.contains("Perfect"), "{page}");
}

#[rstest]
#[case::no_vm("large: 6, small: 94", "large: 0, small: 0", "vms")]
#[case::no_engine("count: 42", "count: 0", "engines")]
#[case::no_rate("per_s: 42", "per_s: 0", "requests")]
#[case::unknown_field("way: 1ms", "path: 1ms", "path")]
#[case::no_number("way: 1ms", "way: fast", "way")]
fn invalid_experiment_is_rejected(#[case] from: &str, #[case] to: &str, #[case] named: &str) {
    let good =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/simulate/hundred-vms.yaml");
    let text = std::fs::read_to_string(good).unwrap();
    assert!(text.contains(from));
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.yaml");
    std::fs::write(&path, text.replace(from, to)).unwrap();
    let error = Experiment::read(&path).unwrap_err().to_string();
    assert!(error.contains(named), "{error}");
}
