//! The camphordale daemon.

fn main() {}
