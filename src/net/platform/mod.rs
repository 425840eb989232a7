//! What the platform around the forwarder is asked and told: the endpoint list, delivery reports, the registry.

pub mod delivery_reports;
pub mod endpoint_list;
pub mod eureka;
pub mod list_status;
