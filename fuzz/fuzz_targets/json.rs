//! The reader of a registry's answers in JSON takes any bytes.
#![no_main]

libfuzzer_sys::fuzz_target!(|data: &[u8]| {
    let _ = cedarbridge::net::platform::eureka::json::decode(data);
});
