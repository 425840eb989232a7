//! Helpers that all plots and HTML pages share.

use plotters::style::RGBColor;

/// The result of drawing a plot.
pub type PlotResult = Result<(), Box<dyn std::error::Error>>;

/// The colour of a plot's line, by the line's index; six colours repeat.
pub fn colour(index: usize) -> RGBColor {
    const COLOURS: [RGBColor; 6] = [
        RGBColor(0x33, 0x66, 0xaa),
        RGBColor(0xcc, 0x66, 0x22),
        RGBColor(0x33, 0x88, 0x44),
        RGBColor(0x88, 0x44, 0x88),
        RGBColor(0xaa, 0x33, 0x55),
        RGBColor(0x66, 0x66, 0x66),
    ];
    COLOURS[index % COLOURS.len()]
}

/// Escapes a text for HTML.
pub fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
