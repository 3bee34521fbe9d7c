//! An experiment on limits as one HTML page, which opens from a file.

use std::fmt::Write;

use plotters::prelude::*;

use super::experiment::LimitsPlan;
use super::trial::LimitsTrial;
use super::vm::LimitWay;
use crate::html::page_head;

const SIZE: (u32, u32) = (700, 200);
/// The largest use against the limit that is drawn.
const MOST_DRAWN: f64 = 3.2;

/// A plot could not be drawn: {0}
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct PageError(String);

/// Writes the page: a row for each trial, and the use over time of each combination with all ways.
///
/// # Errors
///
/// When a plot cannot be drawn.
pub fn make_page(trials: &[LimitsTrial]) -> Result<String, PageError> {
    let columns = [
        "VMs",
        "accounts",
        "trouble",
        "way",
        "worst window",
        "refused below",
        "used",
        "messages/s",
        "bytes/s",
    ];
    let mut page = page_head("Limits", &columns);
    for trial in trials {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "{}", row(trial));
    }
    page.push_str("</table>\n");
    let mut drawn: Vec<String> = Vec::new();
    for trial in trials {
        let title = title_of(&trial.plan);
        if !drawn.contains(&title) {
            let same =
                trials.iter().filter(|it| title_of(&it.plan) == title && it.seed == trial.seed);
            page.push_str(&plot(&title, &same.collect::<Vec<&LimitsTrial>>())?);
            drawn.push(title);
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn title_of(plan: &LimitsPlan) -> String {
    format!("{} VMs, {:?}", plan.vms, plan.trouble)
}

fn row(trial: &LimitsTrial) -> String {
    let LimitsTrial { plan, worst_window, refused_below, used_share, .. } = trial;
    format!(
        "<tr><td>{}</td><td>{}</td><td>{:?}</td><td>{:?}</td><td>{worst_window:.2}</td>\
         <td>{refused_below:.3}</td><td>{used_share:.2}</td><td>{:.1}</td><td>{:.0}</td></tr>",
        plan.vms, plan.accounts, plan.trouble, plan.way, trial.messages_per_s, trial.bytes_per_s,
    )
}

/// The use against the limit, by the time since the start of the play.
fn plot(title: &str, trials: &[&LimitsTrial]) -> Result<String, PageError> {
    let longest = trials.iter().filter_map(|trial| trial.curve.last()).map(|(at, _)| *at);
    let longest = longest.max().unwrap_or(1) as f64;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let failed = |error: &dyn std::fmt::Display| PageError(error.to_string());
        area.fill(&WHITE).map_err(|error| failed(&error))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .build_cartesian_2d(0.0..longest, 0.0..MOST_DRAWN)
            .map_err(|error| failed(&error))?;
        for trial in trials {
            let points = trial.curve.iter().map(|(at, used)| (*at as f64, used.min(MOST_DRAWN)));
            let line = LineSeries::new(points, color_of(trial.plan.way));
            chart.draw_series(line).map_err(|error| failed(&error))?;
        }
        area.present().map_err(|error| failed(&error))?;
    }
    Ok(format!(
        "<h2>{title}</h2>\n<p>Use against the limit. Black: equal parts; red: added counts; blue: an owner that \
         grants; green: told wants.</p>\n{svg}\n"
    ))
}

fn color_of(way: LimitWay) -> RGBColor {
    match way {
        LimitWay::EqualParts => BLACK,
        LimitWay::AddedCounts => RED,
        LimitWay::GrantingOwner => BLUE,
        LimitWay::ToldWants => GREEN,
    }
}
