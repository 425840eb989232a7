//! Communication with the platform that the forwarder runs on: the endpoint list, the delivery reports and the registry.

pub mod delivery_reports;
pub mod endpoint_list;
pub mod eureka;
pub mod list_status;
mod report_post;
