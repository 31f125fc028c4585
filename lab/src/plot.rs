//! Plots as SVG and PNG: a run with its troubles, response times, load and warmth of app servers, comparisons
//! of policies, and sweeps.

use std::path::Path;
use std::sync::Once;

use gradepaddle_emulator::result::Outcome;
use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use plotters::style::FontStyle;
use snafu::ResultExt;

use crate::error::{DrawFileSnafu, DrawSnafu, Error};
use crate::experiment::Row;
use crate::stats::Estimate;

const SIZE: (u32, u32) = (900, 420);
const FONT: &str = "sans-serif";

/// A palette that is distinguishable with most kinds of colour vision (Okabe and Ito).
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(213, 94, 0),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(120, 120, 120),
    RGBColor(0, 0, 0),
];

fn fonts() {
    static ONCE: Once = Once::new();
    // The machine may have no fonts, so one is built in.
    ONCE.call_once(|| {
        let _ = plotters::style::register_font(FONT, FontStyle::Normal, dejavu::sans::regular());
    });
}

/// A plot that can be drawn with any backend.
pub trait Picture {
    /// Draws the plot.
    ///
    /// # Errors
    ///
    /// The backend cannot draw.
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
    where
        B::ErrorType: 'static;
}

/// Writes a plot as `NAME.svg` and `NAME.png`.
///
/// # Errors
///
/// A file cannot be drawn or written.
pub fn save(folder: &Path, name: &str, picture: &impl Picture) -> Result<(), Error> {
    fonts();
    let (svg, png) = (folder.join(format!("{name}.svg")), folder.join(format!("{name}.png")));
    {
        let area = SVGBackend::new(&svg, SIZE).into_drawing_area();
        area.fill(&WHITE)
            .and_then(|()| picture.draw(&area))
            .and_then(|()| area.present())
            .map_err(Into::into)
            .context(DrawFileSnafu { path: svg.clone() })?;
    }
    let area = BitMapBackend::new(&png, SIZE).into_drawing_area();
    area.fill(&WHITE)
        .and_then(|()| picture.draw(&area))
        .and_then(|()| area.present())
        .map_err(Into::into)
        .context(DrawFileSnafu { path: png.clone() })
}

/// Renders a plot as SVG text.
///
/// # Errors
///
/// The plot cannot be drawn.
pub fn svg(picture: &impl Picture) -> Result<String, Error> {
    fonts();
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)
            .and_then(|()| picture.draw(&area))
            .and_then(|()| area.present())
            .map_err(Into::into)
            .context(DrawSnafu)?;
    }
    Ok(text)
}

/// Share of worth served over time, per second and as a moving average over 5 s, with the troubles in the
/// background.
pub struct Worth<'a>(pub &'a Outcome);

impl Picture for Worth<'_> {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
    where
        B::ErrorType: 'static,
    {
        let outcome = self.0;
        let asked = outcome.seconds.iter().rposition(|second| second.asked > 0).unwrap_or(0) + 1;
        let title = format!("{}: worth served of worth asked for ({})", outcome.scenario, outcome.policy);
        let mut chart = ChartBuilder::on(area)
            .caption(title, (FONT, 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..asked as f64, 0.0..1.08)?;
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw()?;
        for (at, (name, begins, ends)) in outcome.troubles.iter().enumerate() {
            let colour = COLOURS[(at + 1) % COLOURS.len()];
            let ends = ends.max(begins + 0.3).min(asked as f64);
            chart
                .draw_series([Rectangle::new([(*begins, 0.0), (ends, 1.08)], colour.mix(0.14).filled())])?
                .label(name)
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.mix(0.3).filled())
                });
        }
        let share = |seconds: &[gradepaddle_emulator::evaluation::SecondTotals]| {
            let (earned, worth) = seconds.iter().fold((0.0, 0.0), |(e, w), s| (e + s.earned, w + s.worth));
            (worth > 0.0).then(|| earned / worth)
        };
        let moving_share = |width: usize| -> Vec<(f64, f64)> {
            let seconds = &outcome.seconds[..asked];
            let point = |at: usize| {
                let from = at.saturating_sub(width - 1);
                share(&seconds[from..=at]).map(|share| (at as f64 + 0.5, share))
            };
            (0..asked).filter_map(point).collect()
        };
        chart.draw_series(LineSeries::new(moving_share(1), COLOURS[0].mix(0.35)))?;
        chart
            .draw_series(LineSeries::new(moving_share(5), COLOURS[0].stroke_width(2)))?
            .label("over 5 s")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 12, y)], COLOURS[0].stroke_width(2)));
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.8))
            .label_font((FONT, 13))
            .draw()
    }
}

/// Attempts, refusals and failures by second.
pub struct Flow<'a>(pub &'a Outcome);

impl Picture for Flow<'_> {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
    where
        B::ErrorType: 'static,
    {
        type ValueOf = fn(&gradepaddle_emulator::evaluation::SecondTotals) -> u64;
        let series: [(&str, ValueOf); 4] = [
            ("first tries", |second| second.asked),
            ("attempts", |second| second.attempts),
            ("refusals", |second| second.refusals),
            ("failures", |second| second.failures),
        ];
        let seconds = &self.0.seconds;
        let most = seconds
            .iter()
            .flat_map(|s| series.iter().map(|(_, value_of)| value_of(s)))
            .max()
            .unwrap_or(1)
            .max(1);
        let mut chart = ChartBuilder::on(area)
            .caption("attempts and refusals a second", (FONT, 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0.0..most as f64 * 1.08)?;
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw()?;
        for ((name, value_of), colour) in series.into_iter().zip(COLOURS) {
            let points =
                seconds.iter().enumerate().map(|(at, second)| (at as f64 + 0.5, value_of(second) as f64));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).label_font((FONT, 13)).draw()
    }
}

/// Distribution of response times by class: time over percentile.
pub struct Latency<'a>(pub &'a Outcome);

impl Picture for Latency<'_> {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
    where
        B::ErrorType: 'static,
    {
        let times = &self.0.times;
        let most = times.iter().flat_map(|t| t.course.iter().map(|(_, ms)| *ms)).fold(10.0, f64::max);
        // Logarithmic in the share of slower answers: 90, 99 and 99.9 percent are evenly spaced.
        let position = |percent: f64| -(1.0 - percent / 100.0).log10();
        let mut chart = ChartBuilder::on(area)
            .caption("time to the answer by class", (FONT, 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..3.1, (1.0..most * 1.2).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("percent of answers")
            .y_desc("ms")
            .x_labels(4)
            .x_label_formatter(&|x| format!("{:.1}", 100.0 * (1.0 - 10f64.powf(-x))))
            .light_line_style(WHITE)
            .draw()?;
        for (class, colour) in times.iter().zip(COLOURS.into_iter().cycle()) {
            if class.count == 0 {
                continue;
            }
            let points = class.course.iter().map(|(percent, ms)| (position(*percent), ms.max(1.0)));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(&class.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .label_font((FONT, 13))
            .draw()
    }
}

/// A heat map with a row per app server and a column per second.
pub struct HeatMap<'a> {
    /// The title.
    pub title: &'a str,
    /// Values by row and second; negative where no app server is up.
    pub rows: &'a [Vec<f32>],
    /// The value that gets the darkest colour.
    pub most: f32,
}

impl Picture for HeatMap<'_> {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
    where
        B::ErrorType: 'static,
    {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, (FONT, 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0..columns, 0..self.rows.len().max(1))?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("app servers").draw()?;
        let cells = self.rows.iter().enumerate().flat_map(|(row, cells)| {
            cells.iter().enumerate().map(move |(column, value)| (row, column, *value))
        });
        chart.draw_series(cells.map(|(row, column, value)| {
            let colour = if value < 0.0 {
                RGBColor(225, 225, 225)
            } else {
                let part = (value / self.most.max(1e-6)).clamp(0.0, 1.0);
                let tone = |from: f32, to: f32| (from + (to - from) * part) as u8;
                RGBColor(tone(252.0, 160.0), tone(246.0, 20.0), tone(228.0, 60.0))
            };
            Rectangle::new([(column, row), (column + 1, row + 1)], colour.filled())
        }))?;
        Ok(())
    }
}

/// A bar per policy with its confidence interval.
pub struct Bars<'a>(pub &'a [Row]);

impl Picture for Bars<'_> {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
    where
        B::ErrorType: 'static,
    {
        let rows = self.0;
        let title = rows
            .first()
            .map_or_else(String::new, |row| format!("{}: the one figure by policy", row.scenario));
        let least = rows.iter().map(|row| row.goal.mean - row.goal.half).fold(0.0, f64::min);
        let mut chart = ChartBuilder::on(area)
            .caption(title, (FONT, 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..rows.len().max(1) as f64, least..1.05)?;
        let name = |x: &f64| {
            rows.get(*x as usize)
                .filter(|_| x.fract() > 0.4)
                .map_or_else(String::new, |row| row.policy.clone())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(rows.len() * 2 + 1)
            .x_label_formatter(&name)
            .label_style((FONT, 12))
            .light_line_style(WHITE)
            .draw()?;
        for (at, row) in rows.iter().enumerate() {
            let x = at as f64;
            let colour = COLOURS[at % COLOURS.len()];
            chart.draw_series([Rectangle::new(
                [(x + 0.2, 0.0), (x + 0.8, row.goal.mean)],
                colour.mix(0.8).filled(),
            )])?;
            let ends = [(x + 0.5, row.goal.mean - row.goal.half), (x + 0.5, row.goal.mean + row.goal.half)];
            chart.draw_series([PathElement::new(ends, BLACK.stroke_width(2))])?;
            if row.broken > 0 {
                let text = format!("{} of {} break rules", row.broken, row.goal.count);
                let style = (FONT, 11).into_font().color(&RED);
                chart.draw_series([Text::new(text, (x + 0.08, row.goal.mean.max(0.0) + 0.05), style)])?;
            }
        }
        Ok(())
    }
}

/// One line of a sweep.
pub struct Line {
    /// The name in the legend.
    pub name: String,
    /// Values of the parameter with the resulting estimates.
    pub points: Vec<(f64, Estimate)>,
}

/// Results of a sweep over a parameter.
pub struct Lines<'a> {
    /// The title.
    pub title: String,
    /// The label of the x axis.
    pub x: String,
    /// The label of the y axis.
    pub y: String,
    /// The lines.
    pub lines: &'a [Line],
    /// Whether both axes are logarithmic.
    pub logarithmic: bool,
}

impl Picture for Lines<'_> {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
    where
        B::ErrorType: 'static,
    {
        let all = || self.lines.iter().flat_map(|line| &line.points);
        let position = |x: f64| if self.logarithmic { x.max(1e-9).log10() } else { x };
        let ends = |values: &mut dyn Iterator<Item = f64>| {
            values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), x| (low.min(x), high.max(x)))
        };
        let (left, right) = ends(&mut all().map(|(x, _)| position(*x)));
        let (low, high) =
            ends(&mut all().flat_map(|(_, y)| [position(y.mean - y.half), position(y.mean + y.half)]));
        if !(left.is_finite() && low.is_finite()) {
            return Ok(());
        }
        let (wide, tall) = ((right - left).max(1e-9) * 0.04, (high - low).max(1e-9) * 0.06);
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, (FONT, 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(left - wide..right + wide, low - tall..high + tall)?;
        let label = |value: &f64| {
            let value = if self.logarithmic { 10f64.powf(*value) } else { *value };
            if value.abs() >= 100.0 { format!("{value:.0}") } else { format!("{value:.3}") }
        };
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .x_label_formatter(&label)
            .y_label_formatter(&label)
            .light_line_style(WHITE)
            .draw()?;
        for (at, line) in self.lines.iter().enumerate() {
            let colour = COLOURS[at % COLOURS.len()];
            let points = line.points.iter().map(|(x, y)| (position(*x), position(y.mean)));
            chart
                .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour.stroke_width(2)));
            chart.draw_series(points.map(|point| Circle::new(point, 3, colour.filled())))?;
            let bars = line.points.iter().filter(|(_, y)| y.half > 0.0);
            chart.draw_series(bars.map(|(x, y)| {
                let ends =
                    [(position(*x), position(y.mean - y.half)), (position(*x), position(y.mean + y.half))];
                PathElement::new(ends, colour)
            }))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .label_font((FONT, 13))
            .draw()
    }
}
