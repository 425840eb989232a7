//! What all plots and pages share.

use plotters::style::RGBColor;

/// A plot that is drawn, or why it cannot be.
pub type PlotResult = Result<(), Box<dyn std::error::Error>>;

/// The colour of a plot's line, by its place.
pub fn colour(at: usize) -> RGBColor {
    const ALL: [RGBColor; 6] = [
        RGBColor(0x33, 0x66, 0xaa),
        RGBColor(0xcc, 0x66, 0x22),
        RGBColor(0x33, 0x88, 0x44),
        RGBColor(0x88, 0x44, 0x88),
        RGBColor(0xaa, 0x33, 0x55),
        RGBColor(0x66, 0x66, 0x66),
    ];
    ALL[at % ALL.len()]
}

/// A text as HTML has it.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
