//! Fuzzes the parser of a registry's JSON responses, which must accept or reject any bytes without a panic.
#![no_main]

libfuzzer_sys::fuzz_target!(|data: &[u8]| {
    let _ = cedarbridge::net::platform::eureka::json::decode(data);
});
