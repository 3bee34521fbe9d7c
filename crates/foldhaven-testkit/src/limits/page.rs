//! Renders the trials of an experiment on limits as one self-contained HTML page.

use std::fmt::Write;

use plotters::prelude::*;

use super::experiment::LimitsPlan;
use super::trial::LimitsTrial;
use super::vm::LimitStrategy;
use crate::html::page_head;

const SIZE: (u32, u32) = (700, 200);
/// Largest ratio of usage to limit that is drawn; higher values are clipped.
const MAX_DRAWN: f64 = 3.2;

/// A plot could not be drawn: {0}
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct PageError(String);

/// Returns the page: a table row for each trial, and for each combination a plot of the usage over
/// time under all strategies.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
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
    let mut drawn_titles: Vec<String> = Vec::new();
    for trial in trials {
        let title = plot_title(&trial.plan);
        if !drawn_titles.contains(&title) {
            let same =
                trials.iter().filter(|it| plot_title(&it.plan) == title && it.seed == trial.seed);
            page.push_str(&plot(&title, &same.collect::<Vec<&LimitsTrial>>())?);
            drawn_titles.push(title);
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn plot_title(plan: &LimitsPlan) -> String {
    format!("{} VMs, {:?}", plan.vms, plan.scenario)
}

fn row(trial: &LimitsTrial) -> String {
    let LimitsTrial { plan, worst_window, refused_below, used_share, .. } = trial;
    format!(
        "<tr><td>{}</td><td>{}</td><td>{:?}</td><td>{:?}</td><td>{worst_window:.2}</td>\
         <td>{refused_below:.3}</td><td>{used_share:.2}</td><td>{:.1}</td><td>{:.0}</td></tr>",
        plan.vms,
        plan.accounts,
        plan.scenario,
        plan.strategy,
        trial.messages_per_s,
        trial.bytes_per_s,
    )
}

/// Plots the ratio of usage to limit over the time since the start of the trial.
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
            .build_cartesian_2d(0.0..longest, 0.0..MAX_DRAWN)
            .map_err(|error| failed(&error))?;
        for trial in trials {
            let points = trial.curve.iter().map(|(at, used)| (*at as f64, used.min(MAX_DRAWN)));
            let line = LineSeries::new(points, color_of(trial.plan.strategy));
            chart.draw_series(line).map_err(|error| failed(&error))?;
        }
        area.present().map_err(|error| failed(&error))?;
    }
    Ok(format!(
        "<h2>{title}</h2>\n<p>Use against the limit. Black: equal parts; red: added counts; blue: an owner that \
         grants; green: told wants.</p>\n{svg}\n"
    ))
}

fn color_of(strategy: LimitStrategy) -> RGBColor {
    match strategy {
        LimitStrategy::EqualParts => BLACK,
        LimitStrategy::AddedCounts => RED,
        LimitStrategy::GrantingOwner => BLUE,
        LimitStrategy::ToldWants => GREEN,
    }
}
