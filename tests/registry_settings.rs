//! The `registry` section of a site file.

use cedarbridge::net::config;
use cedarbridge::routes::NamedSettings;
use cedarbridge::site::Site;

#[test]
fn an_invalid_section_is_rejected_with_its_code_and_place() {
    let example = include_str!("../examples/config.json");
    let (settings, names) = config::read_platform_settings(example).expect("the example's settings");
    let read_site = |text: &str| {
        let platform = NamedSettings { settings: &settings, names: &names };
        Site::read(text, platform).map(|site| site.registry.expect("there"))
    };
    let read =
        |rest: &str| read_site(&format!("version: 1\nregistry: {{addresses: [\"http://h:1/p\"], {rest}}}\n"));

    let shipped = read_site(include_str!("../deploy/registry.yaml")).expect("accepted");
    // The defaults are those that the operators' page states.
    let bare = read("poll: 1s").expect("accepted");
    assert_eq!(
        (&bare.hold_down, &bare.shrink_guard, bare.backoff),
        (&shipped.hold_down, &shipped.shrink_guard, shipped.backoff)
    );
    assert_eq!((bare.addresses[0].host.as_str(), bare.addresses[0].path_prefix.as_str()), ("h", "/p"));

    for (rest, wanted) in [
        ("poll: 50ms", "time"),
        ("poll: 1", "unit"),
        ("polls: 1s", "unknown-key"),
        ("hold-down: {first: 2s, longest: 1s}", "pause"),
        ("hold-down: {first: 2s, longest: 3s, forgets: 1s}", "unknown-key"),
        ("back-off: {first: 20s}", "pause"),
        ("shrink: {share: 1.5}", "type"),
        ("shrink: {share: 0}", "type"),
        ("largest-mb: 0", "type"),
        ("vip: a, apps: [b]", "type"),
        ("metadata: {partner: x}", "unknown-key"),
        ("register: {renew: 1s}", "missing-key"),
        ("register: {app: A, renew: 2s, lease: 2s}", "lease"),
    ] {
        let found = read(rest).expect_err(rest);
        assert_eq!(found.iter().map(|b| b.code.as_str()).collect::<Vec<_>>(), [wanted], "{rest}: {found:?}");
        assert!(found[0].at.line == 2 && found[0].at.column > 38, "{rest}: {found:?}");
    }

    for addresses in
        ["[]", "[h]", "[\"https://h:1\"]", "[\"http://h\"]", "[\"http://h:1/a\", \"http://h:1/a/\"]"]
    {
        let text = format!("version: 1\nregistry: {{addresses: {addresses}}}\n");
        let found = read_site(&text).expect_err(addresses);
        assert_eq!(found.iter().map(|b| b.code.as_str()).collect::<Vec<_>>(), ["address"], "{addresses}");
    }
}
