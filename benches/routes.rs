//! How long a look-up in the plan and the check of a file take. Sizes are in the names.
#![allow(missing_docs)]

use cedarbridge::routes::NamedSettings;
use cedarbridge::site::Site;
use cedarbridge::{ClassId, DestinationId, KindId};
use criterion::{criterion_group, criterion_main, Criterion};
use std::fmt::Write;
use std::hint::black_box;

/// An entry a destination, and one a kind.
fn file(entries: u64) -> String {
    let mut text = String::from("version: 1\nroutes:\n");
    for kind in ["cable-operator", "small-partner"] {
        let _ = writeln!(text, "  - {{name: {kind}, match: {{kind: {kind}}}, timeout: 2s, attempts: 4}}");
    }
    for d in 0..entries - 2 {
        let _ = writeln!(
            text,
            "  - name: partner-{d}\n    match: {{destination: {d}, class: notice}}\n    timeout: {}ms\n    \
             attempts: 3\n    pause: {{first: 200ms, longest: 1600ms}}\n    give-up: 20s",
            500 + d % 5000
        );
    }
    text
}

fn routes(c: &mut Criterion) {
    let config = include_str!("../examples/config.json");
    let (settings, names) =
        cedarbridge::net::config::read_platform_settings(config).expect("the example's settings");
    let platform = || NamedSettings { settings: &settings, names: &names };
    let text = file(10_000);
    let plan = Site::read(&text, platform()).expect("accepted").routes;
    let mut next = 0u64;
    c.bench_function("look-up, 10,000 destinations in turn", |b| {
        b.iter(|| {
            // A stride that is no neighbour, so that rows come from all over the table.
            next = (next + 7919) % 10_500;
            plan.timing(black_box(DestinationId(next)), Some(KindId((next % 2) as usize)), ClassId(0))
        })
    });
    c.bench_function("check, 10,000 entries", |b| {
        b.iter(|| Site::read(black_box(&text), platform()).is_ok())
    });
}

criterion_group!(benches, routes);
criterion_main!(benches);
