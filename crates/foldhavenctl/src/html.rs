//! The report on error-budget burn as a self-contained HTML page with plots.

use plotters::prelude::*;

use crate::burn::{BurnLine, BurnReport};

const WIDTH: u32 = 900;
const BAR_HEIGHT: u32 = 26;
const MARGIN: u32 = 70;
/// Highest burn rate that the plots show. Longer bars are clipped; the table has their values.
const MAX_RATE: f64 = 20.0;

/// A plot could not be drawn: {0}
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct PlotError(String);

/// Returns the page.
///
/// # Errors
///
/// Returns an error if a plot cannot be drawn.
pub fn burn_page(report: &BurnReport) -> Result<String, PlotError> {
    let short = plot_rates("Burn over 5 minutes", &report.lines, |line| line.burn_short)?;
    let long = plot_rates("Burn over 1 hour", &report.lines, |line| line.burn_long)?;
    let rows: String = report.lines.iter().map(table_row).collect();
    let missing = match report.unreachable.as_slice() {
        [] => "<p>Every VM that is known answered.</p>".to_owned(),
        some => {
            let list = escape(&some.join(", "));
            format!("<p class=\"missing\">Not reached, and missing here: {list}.</p>")
        }
    };
    let vms = escape(&report.vms.join(", "));
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>\
         body{{font:15px sans-serif;margin:2em;max-width:70em}}\
         table{{border-collapse:collapse}}td,th{{padding:.3em .8em;text-align:right;\
         border-bottom:1px solid #ddd}}td:first-child,td:nth-child(2){{text-align:left}}\
         .missing{{color:#a00}}</style></head><body>\n<h1>Service-level burn</h1>\n\
         <p>From {vms}. A burn of 1 uses the error budget up exactly as fast as allowed.</p>\n\
         {missing}\n{short}\n{long}\n<table><tr><th>account</th><th>class</th><th>target</th>\
         <th>budget left</th><th>burn 5m</th><th>burn 1h</th><th>requests</th><th>bad</th>\
         <th>refused</th><th>worth lost</th><th>worst VMs</th></tr>\n{rows}</table>\n\
         </body></html>\n"
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn table_row(line: &BurnLine) -> String {
    let worst: Vec<String> =
        line.worst.iter().map(|it| format!("{} ({})", escape(&it.vm), it.bad)).collect();
    format!(
        "<tr><td>{}</td><td>{}</td><td>{:.2}%</td><td>{:.0}%</td><td>{:.2}</td><td>{:.2}</td>\
         <td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{}</td></tr>\n",
        escape(&line.account),
        escape(&line.class),
        line.target * 100.0,
        line.budget_left * 100.0,
        line.burn_short,
        line.burn_long,
        line.counts.total,
        line.counts.bad,
        line.counts.refused,
        line.counts.lost,
        worst.join(", "),
    )
}

/// Plots one bar per account and class, and a line at a burn rate of 1.
fn plot_rates(
    title: &str,
    lines: &[BurnLine],
    rate: impl Fn(&BurnLine) -> f64,
) -> Result<String, PlotError> {
    let plot_error = |error: &dyn std::fmt::Display| PlotError(error.to_string());
    let mut svg = String::new();
    let count = lines.len().max(1);
    let size = (WIDTH, MARGIN + BAR_HEIGHT * count as u32);
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        let highest = lines.iter().map(&rate).fold(1.5, f64::max).min(MAX_RATE);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .x_label_area_size(30)
            .y_label_area_size(240)
            .margin(8)
            .build_cartesian_2d(0.0..highest, 0.0..count as f64)
            .map_err(|error| plot_error(&error))?;
        let name = |at: &f64| {
            let line = lines.get(*at as usize).filter(|_| at.fract() > 0.4 && at.fract() < 0.6);
            line.map_or(String::new(), |line| format!("{} / {}", line.account, line.class))
        };
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(2 * count + 1)
            .y_label_formatter(&name)
            .draw()
            .map_err(|error| plot_error(&error))?;
        let bars = lines.iter().enumerate().map(|(at, line)| {
            let value = rate(line).clamp(0.0, highest);
            let color = if value > 1.0 { RGBColor(190, 40, 40) } else { RGBColor(60, 120, 70) };
            let low = at as f64;
            Rectangle::new([(0.0, low + 0.15), (value, low + 0.85)], color.filled())
        });
        chart.draw_series(bars).map_err(|error| plot_error(&error))?;
        let limit = [(1.0, 0.0), (1.0, count as f64)];
        chart.draw_series(LineSeries::new(limit, &BLACK)).map_err(|error| plot_error(&error))?;
        area.present().map_err(|error| plot_error(&error))?;
    }
    Ok(svg)
}
