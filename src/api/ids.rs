//! The time type, and the ids by which the delivery policy and its caller refer to messages, endpoints and
//! other things.

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
id!(/** The id of a message, assigned by the caller. A forwarder never uses an id twice. */ MessageId(u64));
id!(/** The id of an endpoint, an address to which calls are sent. */ EndpointId(u32));
id!(/** The id of a destination, to which messages are addressed. It has one or more endpoints. */ DestinationId(u64));
id!(/** An order key. Messages of an ordered class with the same key are delivered in order. */ OrderKey(u64));
id!(/** The index of a class in [`super::Settings::classes`]. */ ClassId(usize));
id!(/** The index of a tenant in [`super::Settings::tenants`]. */ TenantId(usize));
id!(/** The index of a zone, a failure domain, in [`super::Settings::zone_costs`]. */ ZoneId(usize));
id!(/** The index of a kind of destination in [`super::Settings::kinds`]. */ KindId(usize));
