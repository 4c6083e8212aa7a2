//! Draws an SVG chart over time with two panels: the share of requests in time, and the exchanges per second.
use crate::errors::ScenarioError;
use crate::retry_storm::Report;
use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::{PathElement, Rectangle};
use plotters::prelude::{BLACK, LineSeries, RGBColor, SVGBackend, WHITE};
use plotters::style::Color;

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 560);
/// Line colours of the runs, in order. They differ in brightness, so that a greyscale print is readable.
const COLOURS: [RGBColor; 2] = [RGBColor(20, 90, 160), RGBColor(220, 120, 30)];
/// Upper end of the first panel's axis, in percent.
const SERVICE_TOP: f64 = 105.0;

/// Draws runs of the same retry storm into one chart, labelled by name.
///
/// # Errors
/// Returns an error if the drawing library fails.
pub fn draw(runs: &[(&str, &Report)]) -> Result<String, ScenarioError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| failed(&error))?;
        let panels = area.split_evenly((2, 1));
        let service = |report: &Report| -> Vec<(f64, f64)> {
            let share = |(second, (requests, in_time, _)): (usize, &(usize, usize, usize))| {
                (second as f64, 100.0 * *in_time as f64 / (*requests).max(1) as f64)
            };
            report.seconds.iter().enumerate().map(share).collect()
        };
        let exchanges = |report: &Report| -> Vec<(f64, f64)> {
            let seconds = report.seconds.iter().enumerate();
            seconds.map(|(second, (_, _, count))| (second as f64, *count as f64)).collect()
        };
        let seconds = runs.iter().flat_map(|(_, report)| &report.seconds);
        let peak = seconds.map(|(_, _, count)| *count).max().unwrap_or(1);
        draw_panel(
            &panels[0],
            "in time, % of the requests that arrived in the second",
            SERVICE_TOP,
            runs,
            &service,
        )?;
        draw_panel(&panels[1], "exchanges per second", 1.05 * peak as f64, runs, &exchanges)?;
        area.present().map_err(|error| failed(&error))?;
    }
    Ok(text)
}

fn failed(error: &dyn std::fmt::Display) -> ScenarioError {
    ScenarioError::machine("the chart", error)
}

/// Draws one panel.
fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    top: f64,
    runs: &[(&str, &Report)],
    points: &dyn Fn(&Report) -> Vec<(f64, f64)>,
) -> Result<(), ScenarioError> {
    // The last second is incomplete.
    let end = runs.iter().map(|(_, report)| report.seconds.len().saturating_sub(2)).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(|error| failed(&error))?;
    let mesh = chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw();
    mesh.map_err(|error| failed(&error))?;
    if let Some((_, first)) = runs.first() {
        let (from, to) = (first.cut.0 as f64, first.cut.1 as f64);
        let cut = Rectangle::new([(from, 0.0), (to, top)], BLACK.mix(0.08).filled());
        chart.draw_series([cut]).map_err(|error| failed(&error))?;
    }
    for ((name, report), colour) in runs.iter().zip(COLOURS) {
        let line = points(report).into_iter().filter(|(at, _)| *at <= end);
        let series = chart.draw_series(LineSeries::new(line, colour.stroke_width(2)));
        series
            .map_err(|error| failed(&error))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| failed(&error))
}
