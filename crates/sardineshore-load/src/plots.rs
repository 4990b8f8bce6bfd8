//! Renders the report as one HTML page with SVG plots.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use anyhow::anyhow;
use plotters::prelude::*;
use sardineshore_wire::audit_log::CallRecord;

use crate::report::{Report, latency_histogram};
use crate::text;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Margin around a plot, in pixels.
const MARGIN: u32 = 16;
/// Space for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 60;
/// Number of steps between percentile 0 and 100 on a latency curve.
const PERCENTILE_STEPS: u32 = 200;

/// One named line of a plot, with its points as (x, y).
#[derive(Debug, Clone, PartialEq)]
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Title of a plot and labels of its axes.
#[derive(Debug, Clone, Copy)]
struct Titles {
    plot: &'static str,
    x: &'static str,
    y: &'static str,
}

/// Renders the report as text, the latency percentiles by pipeline, and the outcomes over time.
///
/// Fails if a plot can't be drawn.
pub fn render(report: &Report, calls: &[CallRecord]) -> anyhow::Result<String> {
    let latency = plot(
        Titles {
            plot: "Latency of answered requests, counted from when they were due",
            x: "percentile",
            y: "ms",
        },
        &latency_lines(calls),
    )?;
    let outcomes = plot(
        Titles {
            plot: "Requests by the second in which they were due",
            x: "s",
            y: "requests",
        },
        &outcome_lines(calls),
    )?;
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\">\n");
    let _ = writeln!(page, "<title>{} load</title>", report.workload);
    let _ = writeln!(page, "<pre>{}</pre>", escape_html(&text::render(report)));
    let _ = writeln!(page, "{latency}\n{outcomes}");
    Ok(page)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn latency_lines(calls: &[CallRecord]) -> Vec<Line> {
    let mut by_pipeline: BTreeMap<Arc<str>, Vec<&CallRecord>> = BTreeMap::new();
    for call in calls {
        by_pipeline
            .entry(call.pipeline.clone())
            .or_default()
            .push(call);
    }
    let line = |(name, calls): (Arc<str>, Vec<&CallRecord>)| {
        let histogram = latency_histogram(calls);
        let point = |step: u32| {
            let quantile = f64::from(step) / f64::from(PERCENTILE_STEPS);
            let ms = histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            (quantile * 100.0, ms)
        };
        Line {
            name: name.to_string(),
            points: (0..=PERCENTILE_STEPS).map(point).collect(),
        }
    };
    by_pipeline.into_iter().map(line).collect()
}

fn outcome_lines(calls: &[CallRecord]) -> Vec<Line> {
    let start = calls.iter().map(|call| call.due_ms).min().unwrap_or(0);
    let mut counts: BTreeMap<&str, BTreeMap<u64, u32>> = BTreeMap::new();
    for call in calls {
        let second = (call.due_ms - start) / 1_000;
        *counts
            .entry("offered")
            .or_default()
            .entry(second)
            .or_default() += 1;
        let kind = if call.in_time {
            "in time"
        } else {
            &call.outcome
        };
        *counts.entry(kind).or_default().entry(second).or_default() += 1;
    }
    let last = calls
        .iter()
        .map(|call| (call.due_ms - start) / 1_000)
        .max()
        .unwrap_or(0);
    let line = |(name, by_second): (&str, BTreeMap<u64, u32>)| {
        let count = |second: u64| f64::from(by_second.get(&second).copied().unwrap_or(0));
        Line {
            name: name.to_owned(),
            points: (0..=last)
                .map(|second| (second as f64, count(second)))
                .collect(),
        }
    };
    counts.into_iter().map(line).collect()
}

fn plot(titles: Titles, lines: &[Line]) -> anyhow::Result<String> {
    let mut svg = String::new();
    draw(&mut svg, titles, lines).map_err(|err| anyhow!("plot {:?}: {err}", titles.plot))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    titles: Titles,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let x_max = points().map(|point| point.0).fold(1.0, f64::max);
    let y_max = points().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .caption(titles.plot, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.05)
        .map_err(|err| err.to_string())?;
    chart
        .configure_mesh()
        .x_desc(titles.x)
        .y_desc(titles.y)
        .draw()
        .map_err(|err| err.to_string())?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color))
            .map_err(|err| err.to_string())?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|err| err.to_string())?;
    area.present().map_err(|err| err.to_string())?;
    Ok(())
}
