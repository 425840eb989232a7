//! The summary that the demonstration prints at its end.

use crate::load::LoadCounts;
use crate::BoxedError;
use hdrhistogram::Histogram;
use serde_json::Value;

/// The value of a counter; 0 if the forwarder has no such counter.
pub fn counter(counters: &Value, key: &str) -> u64 {
    counters[key].as_u64().unwrap_or(0)
}

/// Prints each endpoint that left, unless `brief`, and the quantiles of two times from the forwarder's receipt of the
/// change: until its delivery policy knew it, and until the first byte of the last call to the endpoint.
pub fn print_drains(records: &[Value], brief: bool) -> Result<(), BoxedError> {
    let mut observed = Histogram::<u64>::new(3)?;
    let mut last_byte = Histogram::<u64>::new(3)?;
    for record in records {
        if !brief {
            println!("{}", row(record));
        }
        observed.record(micros(record, "observed_ms"))?;
        last_byte.record(micros(record, "last_byte_ms"))?;
    }
    print_quantiles("learnt to told", &observed);
    print_quantiles("learnt to last first byte", &last_byte);
    Ok(())
}

/// The line of a log record of an endpoint that left.
fn row(record: &Value) -> String {
    let text = |key: &str| record[key].as_str().map_or_else(|| record[key].to_string(), str::to_owned);
    format!(
        "{:<10} {:<9} received at {:>12} µs   told to the module {:>8} ms later   last first byte {:>10} ms later",
        text("id"),
        text("lifecycle"),
        text("received_at"),
        text("observed_ms"),
        text("last_byte_ms")
    )
}

/// A time of a log record, in microseconds.
fn micros(record: &Value, key: &str) -> u64 {
    (record[key].as_f64().unwrap_or(0.0).max(0.0) * 1000.0) as u64
}

fn print_quantiles(name: &str, histogram: &Histogram<u64>) {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let quantile = |q| ms(histogram.value_at_quantile(q));
    println!(
        "{name}: {} changes, p50 {} ms, p99 {} ms, largest {} ms",
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
