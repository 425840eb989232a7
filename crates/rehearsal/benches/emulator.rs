//! How many messages the simulation handles in a second of real time, on one core.
#![allow(missing_docs)]

use cedarbridge_rehearsal::environment::Environment;
use cedarbridge_rehearsal::experiment::Experiment;
use cedarbridge_rehearsal::simulation::simulate;
use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use std::path::Path;

fn simulation(c: &mut Criterion) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/slow-partner.yaml");
    let experiment = Experiment::read(&path).expect("a shipped experiment");
    let mut group = c.benchmark_group("emulator");
    for load in [(0.8, 0.8), (1.1, 1.1)] {
        let environment = Environment::generate(&experiment, load, 1);
        group.throughput(Throughput::Elements(environment.requests.len() as u64));
        group.bench_function(format!("a day at {:.0}% of full load", load.0 * 100.0), |b| {
            b.iter(|| simulate(&environment, None, 1).0.delivered)
        });
    }
    group.finish();
}

criterion_group!(benches, simulation);
criterion_main!(benches);
