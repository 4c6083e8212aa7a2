//! Service and arrivals over time as an SVG picture: one row for service, one for what was asked.
use crate::fault::Unplayed;
use crate::storm::Report;
use plotters::prelude::*;

/// Pixels.
const SIZE: (u32, u32) = (960, 560);
/// Colours of the plays, in their order; told apart in grey as well.
const COLOURS: [RGBColor; 2] = [RGBColor(20, 90, 160), RGBColor(220, 120, 30)];
/// A service within this share of the requests of one second is drawn at the top.
const TOP: f64 = 105.0;

/// Draws plays of the same storm side by side, each under its name. An error is the drawing library's.
pub fn draw(plays: &[(&str, &Report)]) -> Result<String, Unplayed> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| Unplayed::machine("the chart", e))?;
        let rows = area.split_evenly((2, 1));
        let service = |r: &Report| -> Vec<(f64, f64)> {
            let share = |(n, (requests, ok, _)): (usize, &(usize, usize, usize))| {
                (n as f64, 100.0 * *ok as f64 / (*requests).max(1) as f64)
            };
            r.seconds.iter().enumerate().map(share).collect()
        };
        let asked = |r: &Report| -> Vec<(f64, f64)> {
            r.seconds.iter().enumerate().map(|(n, s)| (n as f64, s.2 as f64)).collect()
        };
        let most = plays.iter().flat_map(|(_, r)| r.seconds.iter().map(|s| s.2)).max().unwrap_or(1);
        row(&rows[0], "in time, % of the jobs that came in the second", TOP, plays, &service)?;
        row(&rows[1], "asked, exchanges a second", 1.05 * most as f64, plays, &asked)?;
        area.present().map_err(|e| Unplayed::machine("the chart", e))?;
    }
    Ok(text)
}

fn row(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    top: f64,
    plays: &[(&str, &Report)],
    points: &dyn Fn(&Report) -> Vec<(f64, f64)>,
) -> Result<(), Unplayed> {
    let told = |e: &dyn std::fmt::Display| Unplayed::machine("the chart", e);
    // The last second is cut short by the end of the play.
    let end = plays.iter().map(|(_, r)| r.seconds.len().saturating_sub(2)).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(|e| told(&e))?;
    let mesh = chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw();
    mesh.map_err(|e| told(&e))?;
    if let Some((_, first)) = plays.first() {
        let (from, to) = (first.cut.0 as f64, first.cut.1 as f64);
        let cut = Rectangle::new([(from, 0.0), (to, top)], BLACK.mix(0.08).filled());
        chart.draw_series([cut]).map_err(|e| told(&e))?;
    }
    for ((name, report), colour) in plays.iter().zip(COLOURS) {
        let line = points(report).into_iter().filter(|(at, _)| *at <= end);
        let series = chart.draw_series(LineSeries::new(line, colour.stroke_width(2)));
        series
            .map_err(|e| told(&e))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|e| told(&e))
}
