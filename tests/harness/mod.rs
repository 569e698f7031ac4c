//! Stand-ins for everything around the controllers: the state service, the cloud, workers and users, on loopback. The soak test
//! and the load driver share them.

pub(crate) mod balancer;
pub(crate) mod cloud;
pub(crate) mod history;
pub(crate) mod http;
pub(crate) mod jobs;
pub(crate) mod network;
pub(crate) mod process;
pub(crate) mod rate_limit;
pub(crate) mod settings;
pub(crate) mod store;
pub(crate) mod topology;
pub(crate) mod user;
pub(crate) mod worker;
