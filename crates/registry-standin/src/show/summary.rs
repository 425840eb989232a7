//! What the show prints at its end.

use crate::load::LoadCounts;
use crate::Failure;
use hdrhistogram::Histogram;
use serde_json::Value;

/// One of the forwarder's counters, or 0.
pub fn counter(counters: &Value, key: &str) -> u64 {
    counters[key].as_u64().unwrap_or(0)
}

/// Prints each endpoint that left, and how long the module and the last call took to follow.
pub fn print_drains(drained: &[Value], brief: bool) -> Result<(), Failure> {
    let mut observed = Histogram::<u64>::new(3)?;
    let mut last_byte = Histogram::<u64>::new(3)?;
    for drain in drained {
        if !brief {
            println!("{}", row(drain));
        }
        observed.record(micros(drain, "observed_ms"))?;
        last_byte.record(micros(drain, "last_byte_ms"))?;
    }
    print_quantiles("learnt to told", &observed);
    print_quantiles("learnt to last first byte", &last_byte);
    Ok(())
}

fn row(drain: &Value) -> String {
    let text = |key: &str| drain[key].as_str().map_or_else(|| drain[key].to_string(), str::to_owned);
    format!(
        "{:<10} {:<9} received at {:>12} µs   told to the module {:>8} ms later   last first byte {:>10} ms later",
        text("id"),
        text("lifecycle"),
        text("received_at"),
        text("observed_ms"),
        text("last_byte_ms")
    )
}

fn micros(drain: &Value, key: &str) -> u64 {
    (drain[key].as_f64().unwrap_or(0.0).max(0.0) * 1000.0) as u64
}

fn print_quantiles(what: &str, histogram: &Histogram<u64>) {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let quantile = |q| ms(histogram.value_at_quantile(q));
    println!(
        "{what}: {} changes, p50 {} ms, p99 {} ms, largest {} ms",
        histogram.len(),
        quantile(0.5),
        quantile(0.99),
        ms(histogram.max())
    );
}

/// Prints how the messages ended.
pub fn print_messages(sent: &LoadCounts, counters: &Value, reports: u64, calls: u64) {
    println!(
        "messages: {} taken, {} turned away, {} delivered, {} failed, {} returned, {reports} notices; partners served {calls}",
        sent.accepted,
        sent.rejected,
        counter(counters, "delivered"),
        counter(counters, "failed"),
        counter(counters, "returned")
    );
}

/// Prints how messages ended while the registry was silent and after.
pub fn print_silence(seconds: u64, before: &Value, after: &Value) {
    let during = |key: &str| counter(after, key) - counter(before, key);
    println!(
        "silent for {seconds} s: {} delivered, {} failed, {} returned, {} turned away",
        during("delivered"),
        during("failed"),
        during("returned"),
        during("unavailable")
    );
}
