//! Renders the trials of an experiment as one self-contained HTML page with plots.

use std::fmt::Write;

use plotters::prelude::*;

use super::tally::SecondCounts;
use super::world::Trial;
use crate::html::page_head;

const SIZE: (u32, u32) = (900, 260);

/// Selects one of the counts of a second.
type CountSelector = fn(&SecondCounts) -> u64;

/// A plot could not be drawn: {0}
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct PageError(String);

/// Returns the page: a table row for each trial, and a plot of its requests per second.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
pub fn make_page(trials: &[Trial]) -> Result<String, PageError> {
    let columns = [
        "VMs that take requests",
        "choice",
        "seed",
        "worth",
        "first two seconds",
        "refused by engines",
        "busiest",
        "opened",
        "heard a second",
        "p99, ms",
    ];
    let mut page = page_head("Simulation", &columns);
    for trial in trials {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "{}", row(trial));
    }
    page.push_str("</table>\n");
    for trial in trials {
        let title = format!("{:?}, {:?}, seed {}", trial.service, trial.choice, trial.seed);
        page.push_str(&plot(&title, &trial.seconds)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn row(trial: &Trial) -> String {
    format!(
        "<tr><td>{} ({:?})</td><td>{:?}</td><td>{}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td>\
         <td>{:.2}</td><td>{:.3}</td><td>{:.0}</td><td>{:.0}</td></tr>",
        trial.in_service,
        trial.service,
        trial.choice,
        trial.seed,
        trial.on_time_share,
        trial.startup_on_time_share,
        trial.refused_arrivals,
        trial.busiest_ratio,
        trial.opened,
        trial.received_reports_per_s,
        trial.first_p99_ms,
    )
}

/// Plots the requests of each second: sent, answered in time, late and refused.
fn plot(title: &str, seconds: &[SecondCounts]) -> Result<String, PageError> {
    let most = seconds.iter().map(|counts| counts.sent).max().unwrap_or(1).max(1) as f64;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let failed = |error: &dyn std::fmt::Display| PageError(error.to_string());
        area.fill(&WHITE).map_err(|error| failed(&error))?;
        let lines: [(RGBColor, CountSelector); 4] = [
            (BLACK, |counts| counts.sent),
            (GREEN, |counts| counts.timely),
            (BLUE, |counts| counts.late),
            (RED, |counts| counts.refused),
        ];
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..most * 1.05)
            .map_err(|error| failed(&error))?;
        for (color, count) in lines {
            let points = seconds.iter().enumerate().map(|(at, it)| (at as f64, count(it) as f64));
            chart.draw_series(LineSeries::new(points, color)).map_err(|error| failed(&error))?;
        }
        area.present().map_err(|error| failed(&error))?;
    }
    Ok(format!(
        "<h2>{title}</h2>\n<p>Black: sent; green: in time; blue: late; red: refused.</p>\n{svg}\n"
    ))
}
