//! Measures how long a look-up in the route table and the check of a site file take. The names of the benchmarks state the
//! sizes.
#![allow(missing_docs)]

use cedarbridge::routes::NamedSettings;
use cedarbridge::site::Site;
use cedarbridge::{ClassId, DestinationId, KindId};
use criterion::{criterion_group, criterion_main, Criterion};
use std::fmt::Write;
use std::hint::black_box;

/// Builds a site file with the given number of entries: one for each kind, and each of the others for a destination.
fn site_file(entries: u64) -> String {
    let mut text = String::from("version: 1\nroutes:\n");
    for kind in ["cable-operator", "small-partner"] {
        let _ = writeln!(text, "  - {{name: {kind}, match: {{kind: {kind}}}, timeout: 2s, attempts: 4}}");
    }
    for destination in 0..entries - 2 {
        let _ = writeln!(
            text,
            "  - name: partner-{destination}\n    match: {{destination: {destination}, class: notice}}\n    \
             timeout: {}ms\n    attempts: 3\n    pause: {{first: 200ms, longest: 1600ms}}\n    give-up: 20s",
            500 + destination % 5000
        );
    }
    text
}

fn routes(criterion: &mut Criterion) {
    let config = include_str!("../examples/config.json");
    let (settings, names) =
        cedarbridge::net::config::read_platform_settings(config).expect("the example's settings");
    let platform = || NamedSettings { settings: &settings, names: &names };
    let text = site_file(10_000);
    let table = Site::read(&text, platform()).expect("accepted").routes;
    let mut next = 0u64;
    criterion.bench_function("look-up, 10,000 destinations in turn", |bencher| {
        bencher.iter(|| {
            // A large stride, so that consecutive look-ups use distant rows of the table.
            next = (next + 7919) % 10_500;
            table.timing(black_box(DestinationId(next)), Some(KindId((next % 2) as usize)), ClassId(0))
        })
    });
    criterion.bench_function("check, 10,000 entries", |bencher| {
        bencher.iter(|| Site::read(black_box(&text), platform()).is_ok())
    });
}

criterion_group!(benches, routes);
criterion_main!(benches);
