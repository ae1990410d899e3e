//! The HTTP interface for operators, the load balancer and the metrics scraper.

mod admin_service;

pub(crate) use admin_service::AdminService;
