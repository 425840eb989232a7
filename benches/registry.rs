//! How long a registry's answers take from bytes to the merged endpoint list. Sizes are in the names.
#![allow(missing_docs)]

use cedarbridge::membership::{HoldDown, Membership, MetadataNames, ShrinkGuard, SourceId, SourcePolicy};
use cedarbridge::net::platform::eureka::{cache::RegistryCache, json};
use cedarbridge::settings_json::Names;
use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use std::fmt::Write;
use std::hint::black_box;

const APPS: usize = 1_000;
const INSTANCES_PER_APP: usize = 10;

/// An answer with these instances, each as a real server writes it.
fn answer(instances: impl Iterator<Item = usize>, stamp: usize, action: &str) -> String {
    let mut apps = String::new();
    for n in instances {
        let app = n / INSTANCES_PER_APP;
        let _ = write!(
            apps,
            "{}{{\"name\":\"APP{app}\",\"instance\":[{{\"instanceId\":\"host-{n}.example:app{app}:8080\",\"hostName\":\
             \"host-{n}.example\",\"app\":\"APP{app}\",\"ipAddr\":\"10.{}.{}.{}\",\"status\":\"UP\",\"overriddenStatus\":\
             \"UNKNOWN\",\"port\":{{\"$\":8080,\"@enabled\":\"true\"}},\"securePort\":{{\"$\":443,\"@enabled\":\"false\"}},\
             \"countryId\":1,\"dataCenterInfo\":{{\"@class\":\"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo\",\
             \"name\":\"MyOwn\"}},\"leaseInfo\":{{\"renewalIntervalInSecs\":30,\"durationInSecs\":90,\
             \"registrationTimestamp\":1700000000000,\"lastRenewalTimestamp\":1700000000000,\"evictionTimestamp\":0,\
             \"serviceUpTimestamp\":1700000000000}},\"metadata\":{{\"partner\":\"{app}\",\"kind\":\"plain\",\"zone\":\
             \"room\",\"weight\":\"5.0\"}},\"homePageUrl\":\"http://host-{n}.example:8080/\",\"vipAddress\":\"app{app}\",\
             \"isCoordinatingDiscoveryServer\":\"false\",\"lastUpdatedTimestamp\":\"{stamp}\",\
             \"lastDirtyTimestamp\":\"{stamp}\",\"actionType\":\"{action}\"}}]}}",
            if apps.is_empty() { "" } else { "," },
            n >> 16 & 255,
            n >> 8 & 255,
            n & 255
        );
    }
    format!("{{\"applications\":{{\"versions__delta\":\"1\",\"application\":[{apps}]}}}}")
}

fn registry(c: &mut Criterion) {
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
        by_address: true,
    };
    let fresh = || (RegistryCache::default(), Membership::new(vec![("registry", policy())]));
    let complete = answer(0..APPS * INSTANCES_PER_APP, 1_700_000_000_000, "ADDED");
    println!("the complete list: {} instances, {} bytes", APPS * INSTANCES_PER_APP, complete.len());
    c.bench_function("whole list, 10,000 instances, read", |b| {
        b.iter(|| json::decode(black_box(complete.as_bytes())))
    });
    c.bench_function("whole list, 10,000 instances, read and taken in", |b| {
        b.iter_batched(
            fresh,
            |(mut held, mut membership)| {
                let answer = json::decode(complete.as_bytes()).expect("JSON");
                let news = held.apply(answer, true, &metadata_names, &names).update;
                membership.apply(0, SourceId(0), news).len()
            },
            BatchSize::LargeInput,
        )
    });
    let (mut held, mut membership) = fresh();
    let all =
        held.apply(json::decode(complete.as_bytes()).expect("JSON"), true, &metadata_names, &names).update;
    membership.apply(0, SourceId(0), all);
    let mut stamp = 1_700_000_000_000;
    c.bench_function("delta of 10 among 10,000 instances, read and taken in", |b| {
        b.iter_batched(
            || {
                stamp += 1;
                answer((0..10).map(|n| n * 997), stamp, "MODIFIED")
            },
            |delta| {
                let answer = json::decode(delta.as_bytes()).expect("JSON");
                let news = held.apply(answer, false, &metadata_names, &names).update;
                membership.apply(0, SourceId(0), news).len()
            },
            BatchSize::SmallInput,
        )
    });
}

criterion_group!(benches, registry);
criterion_main!(benches);
