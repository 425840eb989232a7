//! Measures how long a registry's answers take from their bytes to the merged endpoint list. The names of the benchmarks
//! state the sizes.
#![allow(missing_docs)]

use cedarbridge::membership::{HoldDown, Membership, MetadataNames, ShrinkGuard, SourceId, SourcePolicy};
use cedarbridge::net::platform::eureka::{cache::RegistryCache, json};
use cedarbridge::settings_json::Names;
use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use std::fmt::Write;
use std::hint::black_box;

const APPS: usize = 1_000;
const INSTANCES_PER_APP: usize = 10;

/// Builds an answer with the given instances, each with all fields that a real server sends.
fn answer(instances: impl Iterator<Item = usize>, stamp: usize, action: &str) -> String {
    let mut apps = String::new();
    for index in instances {
        let app = index / INSTANCES_PER_APP;
        let _ = write!(
            apps,
            "{}{{\"name\":\"APP{app}\",\"instance\":[{{\"instanceId\":\"host-{index}.example:app{app}:8080\",\"hostName\":\
             \"host-{index}.example\",\"app\":\"APP{app}\",\"ipAddr\":\"10.{}.{}.{}\",\"status\":\"UP\",\"overriddenStatus\":\
             \"UNKNOWN\",\"port\":{{\"$\":8080,\"@enabled\":\"true\"}},\"securePort\":{{\"$\":443,\"@enabled\":\"false\"}},\
             \"countryId\":1,\"dataCenterInfo\":{{\"@class\":\"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo\",\
             \"name\":\"MyOwn\"}},\"leaseInfo\":{{\"renewalIntervalInSecs\":30,\"durationInSecs\":90,\
             \"registrationTimestamp\":1700000000000,\"lastRenewalTimestamp\":1700000000000,\"evictionTimestamp\":0,\
             \"serviceUpTimestamp\":1700000000000}},\"metadata\":{{\"partner\":\"{app}\",\"kind\":\"plain\",\"zone\":\
             \"room\",\"weight\":\"5.0\"}},\"homePageUrl\":\"http://host-{index}.example:8080/\",\"vipAddress\":\"app{app}\",\
             \"isCoordinatingDiscoveryServer\":\"false\",\"lastUpdatedTimestamp\":\"{stamp}\",\
             \"lastDirtyTimestamp\":\"{stamp}\",\"actionType\":\"{action}\"}}]}}",
            if apps.is_empty() { "" } else { "," },
            index >> 16 & 255,
            index >> 8 & 255,
            index & 255
        );
    }
    format!("{{\"applications\":{{\"versions__delta\":\"1\",\"application\":[{apps}]}}}}")
}

fn registry(criterion: &mut Criterion) {
    let metadata_names = MetadataNames {
        destination: "partner".to_owned(),
        kind: "kind".to_owned(),
        zone: "zone".to_owned(),
        weight: "weight".to_owned(),
    };
    let names = Names { kinds: vec!["plain".to_owned()], zones: vec!["room".to_owned()], ..Names::default() };
    let policy = || SourcePolicy {
        hold_down: Some(HoldDown { first: 1_000_000, max: 30_000_000, forget_after: 60_000_000 }),
        shrink_guard: Some(ShrinkGuard { max_missing_share: 0.3, confirm_after: 10_000_000 }),
        identifies_by_address: true,
    };
    let empty = || (RegistryCache::default(), Membership::new(vec![("registry", policy())]));
    let complete = answer(0..APPS * INSTANCES_PER_APP, 1_700_000_000_000, "ADDED");
    println!("the complete list: {} instances, {} bytes", APPS * INSTANCES_PER_APP, complete.len());
    criterion.bench_function("whole list, 10,000 instances, read", |bencher| {
        bencher.iter(|| json::decode(black_box(complete.as_bytes())))
    });
    criterion.bench_function("whole list, 10,000 instances, read and taken in", |bencher| {
        bencher.iter_batched(
            empty,
            |(mut cache, mut membership)| {
                let answer = json::decode(complete.as_bytes()).expect("JSON");
                let update = cache.apply(answer, true, &metadata_names, &names).update;
                membership.apply(0, SourceId(0), update).len()
            },
            BatchSize::LargeInput,
        )
    });
    let (mut cache, mut membership) = empty();
    let update =
        cache.apply(json::decode(complete.as_bytes()).expect("JSON"), true, &metadata_names, &names).update;
    membership.apply(0, SourceId(0), update);
    let mut stamp = 1_700_000_000_000;
    criterion.bench_function("delta of 10 among 10,000 instances, read and taken in", |bencher| {
        bencher.iter_batched(
            || {
                stamp += 1;
                answer((0..10).map(|index| index * 997), stamp, "MODIFIED")
            },
            |delta| {
                let answer = json::decode(delta.as_bytes()).expect("JSON");
                let update = cache.apply(answer, false, &metadata_names, &names).update;
                membership.apply(0, SourceId(0), update).len()
            },
            BatchSize::SmallInput,
        )
    });
}

criterion_group!(benches, registry);
criterion_main!(benches);
