//! The control group: three VMs with disks on a network that cuts, loses and delays.

#![allow(clippy::unwrap_used)]

mod cluster;
mod randomized;
mod scenarios;
