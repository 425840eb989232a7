//! Times, and the ids by which the delivery policy and its caller name things.

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in whole microseconds of the caller's clock.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    };
}
id!(/** A message, numbered by the caller; never used twice by one forwarder. */ MessageId(u64));
id!(/** An address that takes calls. */ EndpointId(u32));
id!(/** What a message is addressed to; it has one or several endpoints. */ DestinationId(u64));
id!(/** Messages of an ordered class with the same key are delivered in order. */ OrderKey(u64));
id!(/** Index into [`super::Settings::classes`]. */ ClassId(usize));
id!(/** Index into [`super::Settings::tenants`]. */ TenantId(usize));
id!(/** Index into [`super::Settings::zone_costs`]; a failure domain. */ ZoneId(usize));
id!(/** Index into [`super::Settings::kinds`]. */ KindId(usize));
