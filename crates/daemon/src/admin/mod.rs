//! The interface for operators, the balancer and the collection of metrics.

mod admin_service;

pub(crate) use admin_service::AdminService;
