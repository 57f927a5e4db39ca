//! Plots as SVG files.

use std::path::Path;

use plotters::prelude::*;

/// One line of a plot.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y), in order of x.
    pub points: Vec<(f64, f64)>,
}

/// Writes lines as an SVG plot with a common x and y axis; `axes` holds their labels. The y axis runs from 1 to
/// `y_max`, and higher values are drawn at `y_max`.
pub fn draw(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    y_max: f64,
    lines: &[Line],
) -> eyre::Result<()> {
    let x_max = lines.iter().flat_map(|it| &it.points).map(|it| it.0).fold(0.0, f64::max);
    let root = SVGBackend::new(path, (960, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..x_max, 1.0..y_max)?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    for (number, line) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = line.points.iter().map(|it| (it.0, it.1.min(y_max)));
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
