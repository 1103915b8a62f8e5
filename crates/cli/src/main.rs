//! The camphordale command-line tool.

fn main() {}
