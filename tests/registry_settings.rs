//! The `registry` section of a site file.

use cedarbridge::net::config;
use cedarbridge::routes::NamedSettings;
use cedarbridge::site::Site;

#[test]
fn an_invalid_section_is_rejected_with_its_code_and_position() {
    let example = include_str!("../examples/config.json");
    let (settings, names) = config::read_platform_settings(example).expect("the example's settings");
    let read_site = |text: &str| {
        let platform = NamedSettings { settings: &settings, names: &names };
        Site::read(text, platform).map(|site| site.registry.expect("a registry"))
    };
    let read =
        |rest: &str| read_site(&format!("version: 1\nregistry: {{addresses: [\"http://h:1/p\"], {rest}}}\n"));

    let shipped = read_site(include_str!("../deploy/registry.yaml")).expect("accepted");
    // The defaults are those in the shipped file, which the operators' guide documents.
    let minimal = read("poll: 1s").expect("accepted");
    assert_eq!(
        (&minimal.hold_down, &minimal.shrink_guard, minimal.backoff),
        (&shipped.hold_down, &shipped.shrink_guard, shipped.backoff)
    );
    assert_eq!((minimal.addresses[0].host.as_str(), minimal.addresses[0].path_prefix.as_str()), ("h", "/p"));

    for (rest, expected) in [
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
        let errors = read(rest).expect_err(rest);
        assert_eq!(
            errors.iter().map(|error| error.code.as_str()).collect::<Vec<_>>(),
            [expected],
            "{rest}: {errors:?}"
        );
        assert!(errors[0].at.line == 2 && errors[0].at.column > 38, "{rest}: {errors:?}");
    }

    for addresses in
        ["[]", "[h]", "[\"https://h:1\"]", "[\"http://h\"]", "[\"http://h:1/a\", \"http://h:1/a/\"]"]
    {
        let text = format!("version: 1\nregistry: {{addresses: {addresses}}}\n");
        let errors = read_site(&text).expect_err(addresses);
        assert_eq!(
            errors.iter().map(|error| error.code.as_str()).collect::<Vec<_>>(),
            ["address"],
            "{addresses}"
        );
    }
}
