//! Lines through points: what a figure is at nothing, what it gains with each step of what drives it,
//! and the power it grows with.

use crate::tally::round;
use serde_json::{Value, json};

#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    pub at_zero: f64,
    pub each: f64,
    /// The power of growth between the first and the last point; 1 is a straight line through zero.
    pub power: f64,
}

pub fn fit(points: &[(f64, f64)]) -> Option<Slope> {
    let count = points.len() as f64;
    if points.len() < 2 {
        return None;
    }
    let (mx, my) = (points.iter().map(|p| p.0).sum::<f64>() / count, points.iter().map(|p| p.1).sum::<f64>() / count);
    let spread: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    if spread == 0.0 {
        return None;
    }
    let each = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / spread;
    let (first, last) = (points[0], points[points.len() - 1]);
    let power = if first.1 > 0.0 && last.1 > 0.0 { (last.1 / first.1).ln() / (last.0 / first.0).ln() } else { 0.0 };
    Some(Slope { at_zero: my - each * mx, each, power })
}

#[derive(Clone, Debug)]
pub struct Series {
    pub name: String,
    pub unit: String,
    pub points: Vec<(f64, f64)>,
}

impl Series {
    pub fn to_json(&self) -> Value {
        let fitted = fit(&self.points).map(
            |slope| json!({"at_zero": round(slope.at_zero), "each": round(slope.each), "power": round(slope.power)}),
        );
        json!({"name": self.name, "unit": self.unit, "points": self.points, "slope": fitted})
    }

    pub fn line(&self) -> String {
        let points: Vec<String> = self.points.iter().map(|(x, y)| format!("{x}: {}", round(*y))).collect();
        let slope = fit(&self.points).map_or(String::new(), |s| {
            format!("  = {} + {} each, power {:.2}", round(s.at_zero), round(s.each), s.power)
        });
        format!("{:<46} {:<8} {}{slope}", self.name, self.unit, points.join("  "))
    }
}

/// Small plots, three to a row, each from zero.
pub fn plot(title: &str, series: &[Series]) -> String {
    const WIDE: f64 = 300.0;
    const HIGH: f64 = 190.0;
    let rows = series.len().div_ceil(3);
    let (width, height) = (3.0 * WIDE, 30.0 + rows as f64 * HIGH);
    let mut page = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"10\">\n<text x=\"10\" y=\"18\" font-size=\"13\">{title}</text>\n"
    );
    for (number, one) in series.iter().enumerate() {
        let (left, top) = ((number % 3) as f64 * WIDE + 45.0, 30.0 + (number / 3) as f64 * HIGH + 24.0);
        let (wide, high) = (WIDE - 65.0, HIGH - 60.0);
        let most_x = one.points.iter().map(|p| p.0).fold(1e-12, f64::max);
        let most_y = one.points.iter().map(|p| p.1).fold(1e-12, f64::max);
        let place = |(x, y): &(f64, f64)| (left + x / most_x * wide, top + high - y / most_y * high);
        page += &format!(
            "<text x=\"{left}\" y=\"{}\">{} ({})</text>\n<path d=\"M{left} {top}V{}H{}\" fill=\"none\" stroke=\"#888\"/>\n",
            top - 8.0,
            one.name,
            one.unit,
            top + high,
            left + wide
        );
        page += &format!(
            "<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{}</text>\n<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{most_x}</text>\n",
            left - 4.0,
            top + 8.0,
            round(most_y),
            left + wide,
            top + high + 14.0
        );
        let path: Vec<String> = one.points.iter().map(place).map(|(x, y)| format!("{x:.1},{y:.1}")).collect();
        page += &format!("<polyline points=\"{}\" fill=\"none\" stroke=\"#06c\"/>\n", path.join(" "));
        for (x, y) in one.points.iter().map(place) {
            page += &format!("<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"2.5\" fill=\"#06c\"/>\n");
        }
    }
    page + "</svg>\n"
}
