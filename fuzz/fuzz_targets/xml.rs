//! Fuzzes the parser of a registry's XML responses, which must accept or reject any bytes without a panic.
#![no_main]

libfuzzer_sys::fuzz_target!(|data: &[u8]| {
    let _ = cedarbridge::net::platform::eureka::xml::decode(data);
});
