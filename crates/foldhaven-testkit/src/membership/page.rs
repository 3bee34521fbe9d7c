//! Renders the trials of a membership experiment as one self-contained HTML page.

use std::fmt::Write;

use plotters::prelude::*;

use super::experiment::DiscoveryMethod;
use super::trial::{StartPlan, StartTrial};
use crate::html::page_head;

const SIZE: (u32, u32) = (700, 200);
/// Maximum number of rows of an example, one for each check of the views.
const MAX_EXAMPLE_ROWS: usize = 12;
/// Maximum number of VMs in one row of an example.
const MAX_EXAMPLE_VMS: usize = 4;

/// A plot could not be drawn: {0}
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct PageError(String);

/// Returns the page: a table row for each trial, a plot of all discovery methods for each start
/// order, and the incomplete views of one run.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
pub fn make_page(trials: &[StartTrial]) -> Result<String, PageError> {
    let columns =
        ["VMs", "start", "lost", "way", "incomplete", "of", "messages a VM a second", "bytes"];
    let mut page = page_head("Membership", &columns);
    for trial in trials {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "{}", row(trial));
    }
    page.push_str("</table>\n");
    let mut drawn_titles: Vec<String> = Vec::new();
    for trial in trials {
        let title = plot_title(&trial.plan);
        if !drawn_titles.contains(&title) {
            let same = trials.iter().filter(|other| plot_title(&other.plan) == title);
            page.push_str(&plot(&title, &same.collect::<Vec<&StartTrial>>())?);
            drawn_titles.push(title);
        }
    }
    for trial in trials.iter().filter(|trial| !trial.example.is_empty()) {
        page.push_str(&example(trial));
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn plot_title(plan: &StartPlan) -> String {
    format!("{} VMs, {:?}, {} lost", plan.vms, plan.start, plan.loss)
}

fn row(trial: &StartTrial) -> String {
    let StartTrial { plan, runs, incomplete, messages_per_s, bytes_per_s, .. } = trial;
    format!(
        "<tr><td>{}</td><td>{:?}</td><td>{}</td><td>{:?}</td><td>{incomplete}</td><td>{runs}</td>\
         <td>{messages_per_s:.1}</td><td>{bytes_per_s:.0}</td></tr>",
        plan.vms, plan.start, plan.loss, plan.method,
    )
}

/// Plots the share of runs with complete views over the time since the last start.
fn plot(title: &str, trials: &[&StartTrial]) -> Result<String, PageError> {
    let longest = trials.iter().filter_map(|trial| trial.curve.last()).map(|(after, _)| *after);
    let longest = longest.max().unwrap_or(1) as f64;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let failed = |error: &dyn std::fmt::Display| PageError(error.to_string());
        area.fill(&WHITE).map_err(|error| failed(&error))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .build_cartesian_2d(0.0..longest, 0.0..1.05)
            .map_err(|error| failed(&error))?;
        for trial in trials {
            let points = trial.curve.iter().map(|(after, share)| (*after as f64, *share));
            let line = LineSeries::new(points, color_of(trial.plan.method));
            chart.draw_series(line).map_err(|error| failed(&error))?;
        }
        area.present().map_err(|error| failed(&error))?;
    }
    Ok(format!(
        "<h2>{title}</h2>\n<p>Share of plays that are complete, by milliseconds after the last start. Red: \
         heartbeats; blue: asking again; green: views.</p>\n{svg}\n"
    ))
}

fn color_of(method: DiscoveryMethod) -> RGBColor {
    match method {
        DiscoveryMethod::Heartbeats => RED,
        DiscoveryMethod::AskingAgain => BLUE,
        DiscoveryMethod::Views => GREEN,
    }
}

/// Renders the incomplete views of the example run at each check.
fn example(trial: &StartTrial) -> String {
    let mut text = format!(
        "<h2>{}, {:?}: one play</h2>\n<table><tr><th>ms</th><th>VMs</th></tr>\n",
        plot_title(&trial.plan),
        trial.plan.method
    );
    for (after, incomplete_views) in trial.example.iter().take(MAX_EXAMPLE_ROWS) {
        let shown = incomplete_views
            .iter()
            .take(MAX_EXAMPLE_VMS)
            .cloned()
            .collect::<Vec<String>>()
            .join("; ");
        let count = incomplete_views.len();
        let _ = writeln!(text, "<tr><td>{after}</td><td>{count}: {shown}</td></tr>");
    }
    text.push_str("</table>\n");
    text
}
