//! How long a registry's answers take from bytes to the merged list. Sizes are in the names.
#![allow(missing_docs)]

use cedarbridge::membership::{HoldDown, Membership, MetadataNames, ShrinkGuard, SourceId, SourcePolicy};
use cedarbridge::net::platform::eureka::{held::Held, json};
use cedarbridge::settings_json::Names;
use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use std::fmt::Write;
use std::hint::black_box;

const APPS: usize = 1_000;
const EACH: usize = 10;

/// An answer with these instances, each as a real server writes it.
fn answer(instances: impl Iterator<Item = usize>, stamp: usize, action: &str) -> String {
    let mut all = String::new();
    for n in instances {
        let app = n / EACH;
        let _ = write!(
            all,
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
            if all.is_empty() { "" } else { "," },
            n >> 16 & 255,
            n >> 8 & 255,
            n & 255
        );
    }
    format!("{{\"applications\":{{\"versions__delta\":\"1\",\"application\":[{all}]}}}}")
}

fn registry(c: &mut Criterion) {
    let words = |w: &str| w.to_owned();
    let by = MetadataNames {
        destination: words("partner"),
        kind: words("kind"),
        zone: words("zone"),
        weight: words("weight"),
    };
    let names = Names { kinds: vec![words("plain")], zones: vec![words("room")], ..Names::default() };
    let policy = || SourcePolicy {
        hold_down: Some(HoldDown { first: 1_000_000, max: 30_000_000, forget_after: 60_000_000 }),
        shrink_guard: Some(ShrinkGuard { max_missing_share: 0.3, confirm_after: 10_000_000 }),
        by_address: true,
    };
    let fresh = || (Held::default(), Membership::new(vec![("registry", policy())]));
    let whole = answer(0..APPS * EACH, 1_700_000_000_000, "ADDED");
    println!("the whole list: {} instances, {} bytes", APPS * EACH, whole.len());
    c.bench_function("whole list, 10,000 instances, read", |b| {
        b.iter(|| json::read(black_box(whole.as_bytes())))
    });
    c.bench_function("whole list, 10,000 instances, read and taken in", |b| {
        b.iter_batched(
            fresh,
            |(mut held, mut membership)| {
                let answer = json::read(whole.as_bytes()).expect("JSON");
                let news = held.take(answer, true, &by, &names).news;
                membership.apply(0, SourceId(0), news).len()
            },
            BatchSize::LargeInput,
        )
    });
    let (mut held, mut membership) = fresh();
    let all = held.take(json::read(whole.as_bytes()).expect("JSON"), true, &by, &names).news;
    membership.apply(0, SourceId(0), all);
    let mut stamp = 1_700_000_000_000;
    c.bench_function("delta of 10 among 10,000 instances, read and taken in", |b| {
        b.iter_batched(
            || {
                stamp += 1;
                answer((0..10).map(|n| n * 997), stamp, "MODIFIED")
            },
            |delta| {
                let answer = json::read(delta.as_bytes()).expect("JSON");
                let news = held.take(answer, false, &by, &names).news;
                membership.apply(0, SourceId(0), news).len()
            },
            BatchSize::SmallInput,
        )
    });
}

criterion_group!(benches, registry);
criterion_main!(benches);
