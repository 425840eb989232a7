//! The decoders of a registry's answers, with answers as real servers write them and with invalid ones.

use cedarbridge::membership::{EntryState, MetadataNames, SourceUpdate};
use cedarbridge::net::platform::eureka::cache::RegistryCache;
use cedarbridge::net::platform::eureka::client::percent_encode;
use cedarbridge::net::platform::eureka::model::{hash_code, Action, Status};
use cedarbridge::net::platform::eureka::{json, xml};
use cedarbridge::settings_json::Names;
use proptest::prelude::*;

const JSON: &str = r#"{"applications":{"versions__delta":"3","apps__hashcode":"DOWN_1_UP_1_","application":[
 {"name":"PARTNERS","instance":{"instanceId":"a:1","hostName":"a","app":"PARTNERS","ipAddr":"10.0.0.1","status":"UP",
  "overriddenStatus":"UNKNOWN","port":{"$":8080,"@enabled":"true"},"securePort":{"$":"443","@enabled":"false"},
  "countryId":1,"dataCenterInfo":{"@class":"x","name":"MyOwn"},"leaseInfo":{"durationInSecs":90},
  "metadata":{"@class":"y","partner":"7","kind":"plain","zone":"room","weight":2.5},"isCoordinatingDiscoveryServer":"false",
  "lastUpdatedTimestamp":"1500","lastDirtyTimestamp":1499,"actionType":"ADDED"}},
 {"name":"OTHER","instance":[{"hostName":"b","ipAddr":"10.0.0.2","status":"DOWN","port":{"@enabled":"false","$":"1"},
  "securePort":{"$":8443,"@enabled":"true"},"metadata":null,"lastUpdatedTimestamp":"9","actionType":"DELETED"}]}]}}"#;

const XML: &str = r#"<?xml version="1.0"?><applications><versions__delta>3</versions__delta>
 <apps__hashcode>DOWN_1_UP_1_</apps__hashcode><application><name>PARTNERS</name><instance><instanceId>a:1</instanceId>
 <hostName>a</hostName><app>PARTNERS</app><ipAddr>10.0.0.1</ipAddr><status>UP</status><port enabled="true">8080</port>
 <securePort enabled="false">443</securePort><leaseInfo><durationInSecs>90</durationInSecs></leaseInfo>
 <metadata><partner>7</partner><kind>plain</kind><zone>room</zone><weight>2.5</weight></metadata>
 <lastUpdatedTimestamp>1500</lastUpdatedTimestamp><lastDirtyTimestamp>1499</lastDirtyTimestamp>
 <actionType>ADDED</actionType></instance></application><application><name>OTHER</name><instance><hostName>b</hostName>
 <ipAddr>10.0.0.2</ipAddr><status>DOWN</status><port enabled="false">1</port><securePort enabled="true">8443</securePort>
 <metadata/><lastUpdatedTimestamp>9</lastUpdatedTimestamp><actionType>DELETED</actionType></instance></application>
 </applications>"#;

#[test]
fn json_and_xml_of_the_same_answer_are_decoded_alike() {
    let (from_json, from_xml) =
        (json::decode(JSON.as_bytes()).expect("JSON"), xml::decode(XML.as_bytes()).expect("XML"));
    assert_eq!(from_json, from_xml);
    assert_eq!((from_json.version, from_json.hash.as_deref()), (Some(3), Some("DOWN_1_UP_1_")));
    let [first, second] = from_json.instances.as_slice() else { panic!("two") };
    assert_eq!(
        (first.id.as_str(), first.port, first.modified_at_ms, first.status),
        ("a:1", Some(8080), 1500, Status::Up)
    );
    assert_eq!((second.app.as_str(), second.id.as_str(), second.port), ("OTHER", "b", Some(8443)));
    assert_eq!((second.status, second.action, second.metadata.len()), (Status::Down, Action::Delete, 0));
    assert_eq!(first.metadata["weight"], "2.5");
    assert_eq!(Some(hash_code(from_json.instances.iter().map(|instance| instance.status))), from_json.hash);
}

#[test]
fn entries_with_invalid_metadata_are_reported_once_and_get_no_defaults() {
    let text = |text: &str| text.to_owned();
    let metadata_names = MetadataNames {
        destination: text("partner"),
        kind: text("kind"),
        zone: text("zone"),
        weight: text("weight"),
    };
    let names = Names { kinds: vec![text("plain")], zones: vec![text("room")], ..Names::default() };
    let mut cache = RegistryCache::default();
    let answer = |from: &str, to: &str| json::decode(JSON.replace(from, to).as_bytes()).expect("JSON");
    let applied = cache.apply(answer("\"ADDED\"", "\"\""), true, &metadata_names, &names);
    let SourceUpdate::Complete { version: Some(3), listings } = applied.update else {
        panic!("not a complete update")
    };
    assert_eq!((listings.len(), listings[0].destination.0, listings[0].state), (1, 7, EntryState::Up));
    assert_eq!((listings[0].weight, listings[0].address.to_string()), (2.5, "10.0.0.1:8080".into()));
    assert!(applied.hash_matches);
    for (from, to, expected) in [
        ("\"partner\":\"7\",", "", "its metadata has no `partner`"),
        ("\"partner\":\"7\"", "\"partner\":\"seven\"", "`partner` is no number: `seven`"),
        ("\"plain\"", "\"odd\"", "unknown kind `odd`"),
        ("\"weight\":2.5", "\"weight\":\"0\"", "`weight` is no rate: `0`"),
        ("\"ipAddr\":\"10.0.0.1\"", "\"ipAddr\":\"a.example\"", "`a.example` is no address"),
        (
            "{\"$\":8080,\"@enabled\":\"true\"}",
            "{\"$\":8080,\"@enabled\":\"false\"}",
            "it has no port that is enabled",
        ),
    ] {
        let mut cache = RegistryCache::default();
        let applied = cache.apply(answer(from, to), false, &metadata_names, &names);
        assert!(
            applied.unusable_entries.iter().any(|entry| entry.reason.to_string() == expected),
            "{expected}: {:?}",
            applied.unusable_entries
        );
        let SourceUpdate::Patch { listings, removed } = applied.update else { panic!("not a patch") };
        assert_eq!((listings.len(), removed.len()), (0, 2), "an earlier entry with this key is removed");
        assert!(
            cache.apply(answer(from, to), false, &metadata_names, &names).unusable_entries.is_empty(),
            "reported once"
        );
    }
    // The hash covers every instance, including those that are not endpoints.
    assert!(!cache.apply(answer("DOWN_1_UP_1_", "UP_9_"), false, &metadata_names, &names).hash_matches);
}

/// Guards against a name that ends the request line early, or that leads to another path.
#[test]
fn a_name_in_a_path_is_encoded_so_that_it_stays_one_segment() {
    assert_eq!(percent_encode("host-1.example:app:8080"), "host-1.example:app:8080");
    assert_eq!(percent_encode("a b/c?d\r\n%"), "a%20b%2Fc%3Fd%0D%0A%25");
}

#[test]
fn a_body_that_is_not_an_answer_is_rejected() {
    let deep = format!("{}{}", "<applications>".repeat(100), "</applications>".repeat(100));
    for text in [
        "",
        "{",
        "[]",
        "{}",
        "null",
        "{\"applications\":[[[[]]]]}",
        "<",
        "<a>",
        "<applications>",
        "<a/>",
        &deep,
    ] {
        assert!(json::decode(text.as_bytes()).is_err(), "{text}");
        assert!(xml::decode(text.as_bytes()).is_err(), "{text}");
    }
    assert!(json::decode("[".repeat(1_000_000).as_bytes()).is_err());
    let bomb = "<!DOCTYPE x [<!ENTITY a \"aaaa\">]><applications><application><name>&a;</name></application></applications>";
    assert!(xml::decode(bomb.as_bytes()).is_err());
    assert!(xml::decode(XML.replace(">a:1<", &format!(">{}<", "x".repeat(5000))).as_bytes()).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// A bounded version of the fuzz targets in `fuzz/`: no bytes make a decoder panic.
    #[test]
    fn any_bytes_are_decoded_or_rejected(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0u8..4), 0..12),
        starts_as_xml in any::<bool>(),
    ) {
        let mut bytes = if starts_as_xml { XML } else { JSON }.as_bytes().to_vec();
        for (position, byte, change) in changes {
            let index = position.index(bytes.len().max(1)).min(bytes.len().saturating_sub(1));
            match change {
                _ if bytes.is_empty() => {}
                0 => bytes[index] = byte,
                1 => bytes.insert(index, byte),
                2 => drop(bytes.remove(index)),
                _ => bytes.truncate(index.max(bytes.len() / 2)),
            }
        }
        let _ = json::decode(&bytes);
        let _ = xml::decode(&bytes);
    }
}
