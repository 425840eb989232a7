//! What is exchanged with the platform around the forwarder: the endpoint list, delivery reports, the registry.

pub mod delivery_reports;
pub mod endpoint_list;
pub mod eureka;
pub mod list_status;
mod report_post;
