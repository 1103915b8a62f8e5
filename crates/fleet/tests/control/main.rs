//! The control group: three VMs with disks on a network that partitions, loses and delays messages.

#![allow(clippy::unwrap_used)]

mod acks;
mod cluster;
mod cold;
mod contents;
mod crashes;
mod evacuation;
mod former_leader;
mod full_disks;
mod heartbeats;
mod loads;
mod membership;
mod randomized;
mod scenarios;
mod streams;
mod tokens;
